package link

import "time"

// Limits are the bounds of links. A zero field stands for its default.
type Limits struct {
	// MessageBytes is the greatest size of a message in bytes; 16 MiB by
	// default.
	MessageBytes int
	// Calls is the greatest number of calls in flight on one link; 1024 by
	// default.
	Calls int
	// CallTimeout bounds a call without a deadline of its own; 60 s by default.
	CallTimeout time.Duration
	// DialTimeout bounds dialling and authentication; 2 s by default.
	DialTimeout time.Duration
	// WriteTimeout bounds the writing of one message; 5 s by default.
	WriteTimeout time.Duration
	// BeatInterval is the time between heartbeats; 1 s by default.
	BeatInterval time.Duration
	// BeatTimeout is the time after which a link whose heartbeat is not
	// answered is replaced; 2 s by default.
	BeatTimeout time.Duration
	// IdleTimeout is the silence after which a server closes a link; 10 s by
	// default.
	IdleTimeout time.Duration
	// KeepAnswers is how long the answers of forwarded requests are kept for a
	// dialler whose connection broke; 15 s by default.
	KeepAnswers time.Duration
	// KeepLinks is how long a server remembers a link without a connection;
	// 10 min by default.
	KeepLinks time.Duration
	// ResumeTimeout is how long a forwarded request whose connection broke
	// waits for a new one; 3 s by default.
	ResumeTimeout time.Duration
	// RedialMin is the wait before the first redial; 100 ms by default.
	RedialMin time.Duration
	// RedialMax is the longest wait before a redial; 2 s by default.
	RedialMax time.Duration
}

// withDefaults returns l with every zero field set to its default.
func (l Limits) withDefaults() Limits {
	orInt(&l.MessageBytes, 16<<20)
	orInt(&l.Calls, 1024)
	orTime(&l.CallTimeout, 60*time.Second)
	orTime(&l.DialTimeout, 2*time.Second)
	orTime(&l.WriteTimeout, 5*time.Second)
	orTime(&l.BeatInterval, time.Second)
	orTime(&l.BeatTimeout, 2*time.Second)
	orTime(&l.IdleTimeout, 10*time.Second)
	orTime(&l.KeepAnswers, 15*time.Second)
	orTime(&l.KeepLinks, 10*time.Minute)
	orTime(&l.ResumeTimeout, 3*time.Second)
	orTime(&l.RedialMin, 100*time.Millisecond)
	orTime(&l.RedialMax, 2*time.Second)
	return l
}

func orInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

func orTime(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
