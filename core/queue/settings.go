package queue

import "time"

const (
	defaultMaxWaiting     = 512
	defaultInitialRunTime = 50 * time.Millisecond
)

// Settings holds the parameters of a [Queue].
type Settings struct {
	// Pool is the name of the pool; it is used in errors only.
	Pool string
	// MaxWaiting is the greatest number of waiting requests; zero means 512.
	MaxWaiting int
	// InitialRunTime is the mean run time that is assumed until run times have
	// been observed; zero means 50 ms.
	InitialRunTime time.Duration
	// FIFO orders requests by arrival alone.
	FIFO bool
	// AdmitAll disables the prediction, so that only MaxWaiting limits admission.
	// It also disables [Queue.RemoveLate].
	AdmitAll bool
}
