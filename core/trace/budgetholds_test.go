package trace_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

// TestBudgetIsCheckedByRevision guards against checking budgets in order of time: the
// clocks of entries differ, so that the times of changes may not be in the order in
// which the changes took effect.
func TestBudgetIsCheckedByRevision(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		opened, closed rock.Revision
		violations     int
	}{
		"opened before the other closed": {opened: 26, closed: 27},
		"opened after the other closed":  {opened: 27, closed: 26, violations: 1},
	}
	for name, test := range tests {
		for _, early := range []string{"opened", "closed"} {
			t.Run(name+", recorded first: "+early, func(t *testing.T) {
				t.Parallel()
				start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
				at := map[string]time.Time{"opened": start.Add(2 * time.Second), "closed": start.Add(2 * time.Second)}
				at[early] = start.Add(time.Second)
				var log trace.Log
				for _, host := range []string{"h1", "h2", "h3"} {
					log.Add(trace.Event{At: start, Kind: trace.HostAdded, Host: host, Pool: "tins", Zone: "a", Rack: "a1", Revision: 1})
				}
				log.Add(trace.Event{At: start, Kind: trace.HostClosed, Host: "h3", Pool: "tins", Revision: 2})
				log.Add(trace.Event{At: start, Kind: trace.BudgetSet, Pool: "tins", MinAvailable: 2, Revision: 3})
				log.Add(trace.Event{At: at["opened"], Kind: trace.HostOpened, Host: "h3", Pool: "tins", Revision: test.opened})
				log.Add(trace.Event{At: at["closed"], Kind: trace.HostClosed, Host: "h2", Pool: "tins", Revision: test.closed})
				outcomes, err := trace.Select("budget_holds")
				assert.NilError(t, err)
				assert.Equal(t, len(trace.Check(log.Events(), outcomes)), test.violations)
			})
		}
	}
}
