package lease

import "time"

// Terms holds the durations of a lease. Zero fields mean the defaults.
type Terms struct {
	// Lifetime is how long a lease lasts from its last renewal; the default is
	// 15 s.
	Lifetime time.Duration
	// Renewal is the age at which the holder renews; the default is a third of
	// the lifetime.
	Renewal time.Duration
	// Skew is the greatest difference between the clocks of two entries; the
	// default is 2 s. The holder stops acting that long before the expiry, and
	// others wait that long after it.
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

// HeldBy reports whether the entry holds the lease at now and may still act on
// it.
func (t Terms) HeldBy(now time.Time, entry string, l Lease) bool {
	t = t.withDefaults()
	return l.holder == entry && l.version > 0 && now.Before(l.expiry.Add(-t.Skew))
}

// Next returns what the entry has to do at now about the lease l, and the lease
// after that. An entry whose own lease is about to expire acquires it again, with
// the next epoch.
func (t Terms) Next(now time.Time, entry string, l Lease) (Lease, Action) {
	t = t.withDefaults()
	if t.HeldBy(now, entry, l) {
		if now.Before(l.expiry.Add(t.Renewal - t.Lifetime)) {
			return l, Hold
		}
		return l.withHolder(entry, l.epoch, now.Add(t.Lifetime)), Renew
	}
	if l.holder != "" && l.holder != entry && now.Before(l.expiry.Add(t.Skew)) {
		return l, Wait
	}
	return l.withHolder(entry, l.epoch+1, now.Add(t.Lifetime)), Acquire
}

// Release returns l without a holder, so that another entry can acquire it at
// once. It is meant for an entry that shuts down.
func (t Terms) Release(l Lease) Lease {
	return l.withHolder("", l.epoch, time.Time{})
}

func (l Lease) withHolder(holder string, epoch uint64, expiry time.Time) Lease {
	l.holder, l.epoch, l.expiry = holder, epoch, expiry
	l.version++
	return l
}
