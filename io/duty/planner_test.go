package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/plan"
	"bramleyrock/core/record"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/crew"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

// constantLoad reports two pools with constant load, one of which has too few hosts.
type constantLoad struct{}

func (constantLoad) Loads(time.Time) []plan.Sample {
	return []plan.Sample{{Pool: "tins", Demand: 4, Hosts: 4}, {Pool: "lids", Demand: 40, Hosts: 4}}
}

// TestPlannerAsksForMoves checks that a lasting shortage of slots creates one move
// if the plan is applied, and otherwise only a status line.
func TestPlannerAsksForMoves(t *testing.T) {
	cases := map[string]struct {
		apply bool
		moves int
	}{
		"asked for": {true, 1},
		"named":     {false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := simulationStart
			records := []rock.Record{
				newRecord(rock.KindPool, "tins", `{"organisation":"alpha","spare":false}`),
				newRecord(rock.KindPool, "lids", `{"organisation":"alpha","spare":false}`),
			}
			for i := range 8 {
				records = append(records, newHost(fmt.Sprintf("h%d", i), "a", "a1", []string{"tins", "lids"}[i%2]))
			}
			b := fleet.NewBook(nil, records...)
			r := duty.New(duty.Settings{
				Name: "e1", Table: depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1, Now: func() time.Time { return now }}),
				Changer: b, Fleet: b, HostList: depot.New(depot.Settings{}), Roster: crew.NewRegistry(),
				Budgets: budget.New(budget.Settings{}), Loads: constantLoad{}, ApplyPlan: c.apply, Now: func() time.Time { return now },
			})
			for range 240 {
				now = now.Add(10 * time.Second)
				assert.NilError(t, r.RunOnce(context.Background()))
			}
			f, _ := b.Fleet()
			moves := f.Records(rock.KindMove)
			assert.Equal(t, len(moves), c.moves)
			if c.apply {
				m, err := record.MoveSpecOf(moves[0])
				assert.NilError(t, err)
				assert.Equal(t, m.From+" "+m.To, "tins lids")
				return
			}
			assert.Equal(t, len(r.Status(now)), 1)
		})
	}
}
