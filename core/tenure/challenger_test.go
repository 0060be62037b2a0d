package tenure_test

import (
	"slices"
	"testing"
	"time"

	"bramleyrock/core/tenure"

	"gotest.tools/v3/assert"
)

// TestObstacle guards against a cell that is not taken for a reason that is not named. The
// last rows of all homes but one are changed 10 s ago and may be taken over.
func TestObstacle(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	me, other := tenure.Owner{Name: "me", Session: "2"}, tenure.Owner{Name: "other", Session: "1"}
	const delay = time.Second
	cases := map[string]struct {
		read    bool // also after the owner's lease expired
		owner   tenure.Owner
		idle    time.Duration // since the home was seen to change
		silent  bool
		answers time.Duration // for how long reads are answered
		want    tenure.Obstacle
	}{
		"unread":                {false, other, 0, false, time.Minute, tenure.ObstacleUnread},
		"reads fail":            {true, other, 10 * time.Second, true, 0, tenure.ObstacleSilent},
		"reads have failed":     {true, other, 10 * time.Second, false, 100 * time.Millisecond, tenure.ObstacleSilent},
		"renewed":               {true, other, time.Second, false, time.Minute, tenure.ObstacleRenewed},
		"not renewed":           {true, other, tenure.TakeoverTimeout + delay/2, false, time.Minute, tenure.ObstacleDelay},
		"not renewed for long":  {true, other, tenure.TakeoverTimeout + delay, false, time.Minute, ""},
		"released":              {true, tenure.Owner{}, delay / 2, false, time.Minute, tenure.ObstacleDelay},
		"released long ago":     {true, tenure.Owner{}, delay, false, 0, ""},
		"partly taken":          {true, me, delay / 2, false, time.Minute, tenure.ObstacleDelay},
		"partly taken long ago": {true, me, delay, false, time.Minute, ""},
		"earlier start":         {true, tenure.Owner{Name: "me", Session: "1"}, 0, false, time.Minute, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const home = 1
			var ch tenure.Challenger
			for h := range tenure.HomeCount {
				if h != home {
					ch.ObserveOwner(now.Add(-10*time.Second), h, tenure.Owner{Name: "me", Session: "1"}, 1)
				}
			}
			if c.read {
				changed := now.Add(-c.idle)
				ch.ObserveOwner(changed, home, c.owner, 1)
				ch.ObserveRead(changed.Add(tenure.LeaseDuration), home)
			}
			answeredSince := now.Add(-c.answers)
			if c.silent {
				answeredSince = time.Time{}
			}
			h, obstacle := ch.Obstacle(now, me, answeredSince, delay)
			assert.Equal(t, obstacle, c.want)
			if obstacle != "" && !c.silent {
				assert.Equal(t, h, home)
			}
			assert.Equal(t, ch.NextAction(now, me, answeredSince, delay) == tenure.Acquire, c.want == "")
		})
	}
}

// TestDelayBeginsAfterAnOutage guards against all challengers taking over at the same time
// when an outage ends in which their delays passed.
func TestDelayBeginsAfterAnOutage(t *testing.T) {
	t.Parallel()
	const home, delay = 1, time.Second
	me := tenure.Owner{Name: "me", Session: "1"}
	cases := map[string]struct {
		begin  time.Duration // of the outage
		failed bool          // a takeover fails in it
	}{
		"before the owner's lease expires": {tenure.LeaseDuration / 2, false},
		"after the delay":                  {10 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ch tenure.Challenger
			for h := range tenure.HomeCount {
				ch.ObserveOwner(start, h, tenure.Owner{Name: "other", Session: "1"}, 1)
			}
			now := start.Add(c.begin)
			obstacle := func() tenure.Obstacle {
				_, o := ch.Obstacle(now, me, start, delay)
				return o
			}
			for h := range tenure.HomeCount {
				ch.ObserveRead(now, h)
			}
			now = now.Add(delay)
			assert.Equal(t, obstacle() == "", c.failed)
			if c.failed {
				ch.ObserveFailure(home)
			}
			now = start.Add(20 * time.Second)
			assert.Equal(t, obstacle(), tenure.ObstacleSilent)
			unread := ch.HomesToRead(now, me)
			assert.Assert(t, slices.Contains(unread, home))
			for _, h := range unread {
				ch.ObserveRead(now, h)
			}
			assert.Equal(t, len(ch.HomesToRead(now, me)), 0)
			now = now.Add(delay - time.Millisecond)
			assert.Equal(t, obstacle(), tenure.ObstacleDelay)
			now = now.Add(time.Millisecond)
			assert.Equal(t, obstacle(), tenure.Obstacle(""))
		})
	}
}
