package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Parts that did not answer are tried last for a while, the longest suspected first.
func TestSuspectsAreTriedLast(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	parts := []string{"a", "b", "c"}
	var s suspects
	assert.DeepEqual(t, s.order(now, parts), parts)
	s.note(now, "b", false)
	s.note(now.Add(100*time.Millisecond), "a", false)
	now = now.Add(200 * time.Millisecond)
	assert.DeepEqual(t, s.order(now, parts), []string{"c", "b", "a"})
	s.note(now, "b", true)
	assert.DeepEqual(t, s.order(now, parts), []string{"b", "c", "a"})
	assert.DeepEqual(t, s.order(now.Add(suspectTime), parts), parts)
}
