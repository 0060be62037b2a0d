package record

import (
	"encoding/json"
	"math"
)

// Limit is the least number of available hosts of a budget: a count, or a
// share of the pool's hosts.
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

// Of returns the least number of available hosts in a pool of that size. A
// share is rounded up.
func (l Limit) Of(hosts int) int {
	s, ok := l.Share()
	if !ok {
		return l.count
	}
	return int(math.Ceil(s*float64(hosts) - shareSlack))
}

// shareSlack keeps a share such as 0.7 of 10 from being rounded up to 8 by the
// error of binary fractions.
const shareSlack = 1e-9
