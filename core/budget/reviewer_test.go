package budget_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newRecord(kind rock.Kind, schema int, name, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), schema, 0, []byte(body))
}

// hostBody returns the body of host h<i>: hosts with even and odd i are in two
// zones, and there are 4 racks.
func hostBody(i int, pool string, open bool) string {
	return fmt.Sprintf(`{"address":"10.0.0.%d:9000","zone":"z%d","rack":"r%d","pool":%q,"slots":8,"open":%v}`, i, i%2, i%4, pool, open)
}

// newConfig returns a configuration with the budget and 8 open hosts of pool tins.
// The reviewer observes a platform's list in which the hosts in gone are gone and
// all others are live.
func newConfig(r *budget.Reviewer, schema int, budgetBody string, gone ...string) *fleet.Book {
	records := []rock.Record{newRecord(rock.KindBudget, schema, "tins", budgetBody)}
	var list []rock.HostStatus
	for i := range 8 {
		name := fmt.Sprintf("h%d", i)
		records = append(records, newRecord(rock.KindHost, 1, name, hostBody(i, "tins", true)))
		state := rock.HostLive
		if strings.Contains(strings.Join(gone, " "), name) {
			state = rock.HostGone
		}
		list = append(list, rock.NewHostStatus(name, state, 0, 1, start))
	}
	r.Observe(start, list)
	return fleet.NewBook(r, records...)
}

// closeHosts returns a proposal to close the hosts of these numbers.
func closeHosts(id string, hosts ...int) rock.Proposal {
	p := rock.Proposal{ID: id}
	for _, i := range hosts {
		p.Records = append(p.Records, newRecord(rock.KindHost, 1, fmt.Sprintf("h%d", i), hostBody(i, "tins", false)).WithVersion(1))
	}
	return p
}

// TestReview checks that closing hosts is refused if it violates a budget for the
// pool, a rack or a zone, and that hosts that failed count as away.
func TestReview(t *testing.T) {
	cases := map[string]struct {
		schema int
		budget string
		gone   []string
		hosts  []int
		want   string
	}{
		"count kept":                     {1, `{"pool":"tins","min_available":6}`, nil, []int{0, 1}, ""},
		"count violated":                 {1, `{"pool":"tins","min_available":7}`, nil, []int{0, 1}, "6 of 8 hosts available: its budget needs 7"},
		"failed host counts as away":     {1, `{"pool":"tins","min_available":6}`, []string{"h5"}, []int{0, 1}, "5 of 8"},
		"failed host may close":          {1, `{"pool":"tins","min_available":8}`, []string{"h5"}, []int{5}, ""},
		"share kept":                     {2, `{"pool":"tins","min_available":{"share":0.75}}`, nil, []int{0, 1}, ""},
		"share violated":                 {2, `{"pool":"tins","min_available":{"share":0.8}}`, nil, []int{0, 1}, "needs 7"},
		"rack limit violated":            {2, `{"pool":"tins","min_available":{"count":1},"max_away_per_rack":1}`, nil, []int{0, 4}, "away in rack r0"},
		"rack limit kept":                {2, `{"pool":"tins","min_available":{"count":1},"max_away_per_rack":1}`, nil, []int{0, 1}, ""},
		"zone limit violated by failure": {2, `{"pool":"tins","min_available":{"count":1},"max_away_per_zone":2}`, []string{"h6"}, []int{0, 2}, "away in zone z0"},
		"budget of another pool":         {1, `{"pool":"lids","min_available":8}`, nil, []int{0, 1}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newConfig(budget.New(budget.Settings{}), c.schema, c.budget, c.gone...)
			_, err := b.Change(context.Background(), start, closeHosts("c1", c.hosts...))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, rock.ReasonOf(err), rock.BudgetExceeded)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}

// TestOneOfTwoWinsTheLastHeadroom guards against two changes that are each allowed
// alone but together violate the budget: the second one must be refused.
func TestOneOfTwoWinsTheLastHeadroom(t *testing.T) {
	b := newConfig(budget.New(budget.Settings{}), 1, `{"pool":"tins","min_available":7}`)
	_, err := b.Change(context.Background(), start, closeHosts("c1", 0))
	assert.NilError(t, err)
	_, err = b.Change(context.Background(), start, closeHosts("c2", 1))
	assert.Equal(t, rock.ReasonOf(err), rock.BudgetExceeded)
}

// TestOldListRefusesVoluntaryChanges guards against closing hosts because of an
// old list, which may show hosts as live that have failed since. Opening a host
// needs no list.
func TestOldListRefusesVoluntaryChanges(t *testing.T) {
	b := newConfig(budget.New(budget.Settings{}), 1, `{"pool":"tins","min_available":1}`)
	_, err := b.Change(context.Background(), start.Add(2*time.Minute), closeHosts("c1", 0))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	open := rock.Proposal{ID: "c2", Records: []rock.Record{newRecord(rock.KindHost, 1, "h9", hostBody(9, "tins", true))}}
	_, err = b.Change(context.Background(), start.Add(2*time.Minute), open)
	assert.NilError(t, err)
}
