package intake

import "time"

const (
	// MaxHeldBytes bounds the memory of the unfinished jobs of a pool. The owner of three
	// such pools needs half of the 184 MB of the smallest entries for them.
	MaxHeldBytes = 32 << 20
	// roomShare is the share of the room, as a divisor, that an entry takes between
	// two renewals. A fleet has more entries, but they do not all get large jobs at once.
	roomShare = 8

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Gate decides whether jobs are accepted in one pool. The zero value knows of no jobs. It is not
// safe for concurrent use.
type Gate struct {
	held int64 // bytes, in the last renewal
	// accepted is the memory of the jobs that this entry has accepted since the last renewal, and
	// recent that since the one before. The renewal may not include the latter.
	accepted int64
	recent   int64
}

// Observe records the memory of the pool's jobs in bytes, as a renewal of the owner tells it.
func (g *Gate) Observe(held int64) {
	g.held, g.recent, g.accepted = held, g.accepted, 0
}

// Admit reports whether a job that needs the given memory in bytes is accepted, and counts it if it
// is. If not, retryAfter is when the pool is expected to have room for it; workLeft is the time in
// which the pool's workers complete all its present work.
func (g *Gate) Admit(bytes int64, workLeft time.Duration) (retryAfter time.Duration, ok bool) {
	taken := g.recent + g.accepted
	room := MaxHeldBytes - g.held - taken
	if bytes <= room && (taken == 0 || taken+bytes <= (room+taken)/roomShare) {
		g.accepted += bytes
		return 0, true
	}
	missing := float64(bytes-room) / float64(max(1, g.held))
	wait := time.Duration(missing * float64(workLeft))
	return min(maxRetryAfter, max(minRetryAfter, wait)), false
}
