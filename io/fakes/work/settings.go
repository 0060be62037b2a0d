package work

import (
	"context"
	"time"
)

const (
	defaultSlots  = 8
	defaultRetain = time.Minute
)

// Settings are the parameters of a [Worker]. The zero value is usable.
type Settings struct {
	// Name is the host's name.
	Name string
	// Slots is the number of tasks that run at the same time; 0 means 8.
	Slots int
	// Seed seeds the choices that faults make by chance.
	Seed uint64
	// ServiceTime is how long a task works if its payload does not say.
	ServiceTime time.Duration
	// UsageLag is how old the usage report is.
	UsageLag time.Duration
	// Retain is how long an ended task and its answer are kept; 0 means one
	// minute.
	Retain time.Duration
	// Unfenced accepts tasks of an older generation, or of another pool of the
	// same generation, than the newest one seen.
	Unfenced bool
	// Now returns the present time; nil means [time.Now].
	Now func() time.Time
	// Sleep waits until the duration has passed or ctx ends; nil means real
	// time. A test with a clock of its own replaces it together with Now.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Retain == 0 {
		s.Retain = defaultRetain
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Sleep == nil {
		s.Sleep = sleep
	}
	return s
}

// sleep waits in real time.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
