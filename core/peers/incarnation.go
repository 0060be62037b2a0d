package peers

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NewIncarnation returns the incarnation id of a process that starts at now.
// Incarnations of one name are ordered as strings, and a later start has a greater
// id. Previous is the greatest incarnation known so far, or ""; the new id is
// greater than it even if the clock went back.
func NewIncarnation(now time.Time, source *rand.Rand, previous string) string {
	id := incarnationID(now.UnixMilli(), source)
	if id > previous {
		return id
	}
	var last int64
	if _, err := fmt.Sscanf(previous, "%013d-", &last); err != nil {
		return previous + "0"
	}
	return incarnationID(last+1, source)
}

func incarnationID(millis int64, source *rand.Rand) string {
	return fmt.Sprintf("%013d-%08x", millis, source.Uint32())
}
