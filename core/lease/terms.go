package lease

import "time"

// Terms are the durations of a lease. The zero value stands for the defaults.
type Terms struct {
	// Lifetime is how long a lease lasts from its last renewal; the default is
	// 15 s.
	Lifetime time.Duration
	// Renewal is the age at which the holder renews; the default is a third of
	// the lifetime.
	Renewal time.Duration
	// Skew is by how much the clocks of two entries may differ; the default is
	// 2 s. The holder stops acting that long before the expiry, and others
	// wait that long after it.
	Skew time.Duration
}

const (
	defaultLifetime     = 15 * time.Second
	defaultSkew         = 2 * time.Second
	renewalsPerLifetime = 3
)

func (t Terms) withDefaults() Terms {
	if t.Lifetime <= 0 {
		t.Lifetime = defaultLifetime
	}
	if t.Renewal <= 0 {
		t.Renewal = t.Lifetime / renewalsPerLifetime
	}
	if t.Skew <= 0 {
		t.Skew = defaultSkew
	}
	return t
}

// HeldBy reports whether the entry me may act on the lease at the time now.
func (t Terms) HeldBy(now time.Time, me string, l Lease) bool {
	t = t.withDefaults()
	return l.holder == me && l.version > 0 && now.Before(l.expiry.Add(-t.Skew))
}

// Next returns what the entry me should do about l at the time now, and the
// state that the row has afterwards. An entry that finds its own lapsed lease
// takes it anew, with the next epoch.
func (t Terms) Next(now time.Time, me string, l Lease) (Lease, Action) {
	t = t.withDefaults()
	if t.HeldBy(now, me, l) {
		if now.Before(l.expiry.Add(t.Renewal - t.Lifetime)) {
			return l, Hold
		}
		return l.withHolder(me, l.epoch, now.Add(t.Lifetime)), Renew
	}
	if l.holder != "" && l.holder != me && now.Before(l.expiry.Add(t.Skew)) {
		return l, Wait
	}
	return l.withHolder(me, l.epoch+1, now.Add(t.Lifetime)), Acquire
}

// Release returns the state in which the entry's own lease is free at once,
// for an entry that shuts down.
func (t Terms) Release(l Lease) Lease {
	return l.withHolder("", l.epoch, time.Time{})
}

func (l Lease) withHolder(holder string, epoch uint64, expiry time.Time) Lease {
	l.holder, l.epoch, l.expiry = holder, epoch, expiry
	l.version++
	return l
}
