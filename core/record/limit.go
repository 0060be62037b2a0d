package record

import (
	"encoding/json"
	"math"
)

// Limit is the minimum number of available hosts of a budget: a number of hosts, or
// a share of the pool's hosts from 0 to 1.
type Limit struct {
	count int
	share json.Number
	extra Extra
}

// CountLimit returns a limit of n hosts.
func CountLimit(n int) Limit { return Limit{count: n} }

// ShareLimit returns a limit of a share of the pool's hosts, from 0 to 1.
func ShareLimit(share float64) Limit {
	data, _ := json.Marshal(share)
	return Limit{share: json.Number(data)}
}

// Count returns the number of hosts, and false if the limit is a share.
func (l Limit) Count() (int, bool) { return l.count, l.share == "" }

// Share returns the share, and false if the limit is a count.
func (l Limit) Share() (float64, bool) {
	if l.share == "" {
		return 0, false
	}
	s, err := l.share.Float64()
	return s, err == nil
}

// MinHosts returns the minimum number of available hosts in a pool of that size. A
// share is rounded up to a whole host.
func (l Limit) MinHosts(hosts int) int {
	s, ok := l.Share()
	if !ok {
		return l.count
	}
	return int(math.Ceil(s*float64(hosts) - shareTolerance))
}

// shareTolerance prevents a share such as 0.7 of 10 from being rounded up to 8
// because of floating-point error.
const shareTolerance = 1e-9

// decodeLimit decodes the required limit of a budget of schema version 2.
func decodeLimit(f *fields) Limit {
	const want = `{"count": number of hosts} or {"share": 0 to 1}`
	raw := f.raw["min_available"]
	if raw == nil {
		f.addMissing("min_available", want)
		return Limit{}
	}
	sub := f.object("min_available")
	if sub == nil {
		return Limit{}
	}
	share := sub.remove("share")
	if (share == nil) == (sub.raw["count"] == nil) {
		f.addInvalid("min_available", raw, want)
		return Limit{}
	}
	l := Limit{}
	if share == nil {
		l.count = int(sub.count("count", 0, maxHostCount, true))
	} else {
		l.share = json.Number(share)
		if s, ok := l.Share(); !ok || s < 0 || s > 1 {
			sub.addInvalid("share", share, "a number from 0 to 1")
		}
	}
	f.addErrors(sub)
	l.extra = sub.extra()
	return l
}
