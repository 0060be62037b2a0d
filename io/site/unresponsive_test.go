package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnresponsivePartsAreTriedLast checks that parts that did not answer are tried last for a
// while, those that failed longer ago first.
func TestUnresponsivePartsAreTriedLast(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	parts := []string{"a", "b", "c"}
	var s unresponsiveParts
	assert.DeepEqual(t, s.sort(now, parts), parts)
	s.record(now, "b", false)
	s.record(now.Add(100*time.Millisecond), "a", false)
	now = now.Add(200 * time.Millisecond)
	assert.DeepEqual(t, s.sort(now, parts), []string{"c", "b", "a"})
	s.record(now, "b", true)
	assert.DeepEqual(t, s.sort(now, parts), []string{"b", "c", "a"})
	assert.DeepEqual(t, s.sort(now.Add(unresponsivePeriod), parts), parts)
}
