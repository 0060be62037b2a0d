package site

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/maint"
	"bramleyrock/io/logs"

	"gotest.tools/v3/assert"
)

// TestMaintenanceThatWasCarriedOutBeforeEnds guards against a worker that is drained for
// good. The platform accepts an order again that it carried out earlier, and the worker
// that came after the maintenance is taken for the one that it ends.
func TestMaintenanceThatWasCarriedOutBeforeEnds(t *testing.T) {
	t.Parallel()
	up := rock.PlatformHost{Name: "h1", Pool: "a", Phase: rock.HostUp, Worker: "w2"}
	down, next, moved := up, up, up
	down.Phase, down.Worker = rock.HostInMaintenance, ""
	next.Worker = "w3"
	moved.Pool = "b"
	cases := map[string]struct {
		// listed holds the host as listed in one second each. The last one is listed until
		// the end.
		listed []rock.PlatformHost
		// after is when the claim ends, or 0 if it does not.
		after time.Duration
	}{
		"the host stays up":            {[]rock.PlatformHost{up}, 4 * time.Second},
		"the maintenance is under way": {[]rock.PlatformHost{up, up, down, down, next}, 4 * time.Second},
		"the list lags":                {[]rock.PlatformHost{up, up, down, up}, 7 * time.Second},
		"the host remains down":        {[]rock.PlatformHost{up, up, down}, 0},
		"another pool has the host":    {[]rock.PlatformHost{moved}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			clock := start
			m := newHostManager(&cellOwner{site: &Site{settings: Settings{Clock: func() time.Time { return clock }}}, pool: "a", log: logs.Discard().WithField("cell", "a")})
			m.endingWorkers["w2"] = "h1"
			wave := rock.MaintenanceWave{Number: 1, Hosts: []string{"h1"}, MaxParallel: 1}
			state := maint.State{Claims: map[string]maint.Claim{"h1": {Worker: "w2", Ordered: true}}}
			var after time.Duration
			for i := range 20 {
				h := c.listed[min(i, len(c.listed)-1)]
				if len(m.finishHosts(wave, &state, map[string]rock.PlatformHost{"h1": h})) > 0 {
					after = clock.Sub(start)
					assert.Equal(t, m.endingWorkers[h.Worker], "")
					break
				}
				clock = clock.Add(time.Second)
			}
			assert.Equal(t, after, c.after)
			assert.Equal(t, len(state.Claims) == 0, c.after > 0)
		})
	}
}
