package drive

import "time"

// Surge is what runs with a surge of one pool showed.
type Surge struct {
	way     string
	useful  float64
	late    int
	refused int
	worst   float64
	p99     time.Duration
}

// Way returns the way of queueing and placing.
func (s Surge) Way() string { return s.way }

// Useful returns the useful work of the surging pool as a share of its slots'
// time during the surge, as the mean of the seeds.
func (s Surge) Useful() float64 { return s.useful }

// Late returns the requests of the surging pool that ended after waiting.
func (s Surge) Late() int { return s.late }

// Refused returns the requests of the surging pool that were refused at
// admission.
func (s Surge) Refused() int { return s.refused }

// WorstRatio returns the greatest ratio of another pool's 99th percentile of
// the wait to the one without a surge.
func (s Surge) WorstRatio() float64 { return s.worst }

// OthersP99 returns the greatest 99th percentile of the other pools' wait.
func (s Surge) OthersP99() time.Duration { return s.p99 }
