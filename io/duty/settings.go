package duty

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/lease"
	"bramleyrock/core/plan"
	"bramleyrock/core/wave"

	"bramleyrock/io/logs"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// defaultInterval is the default of [Settings.Interval].
const defaultInterval = time.Second

// Settings are the settings of a [Runner].
type Settings struct {
	// Name is the name of the entry.
	Name string
	// Table holds the leases.
	Table rock.Table
	// Changer commits the changes of moves, waves and the capacity plan.
	Changer rock.Changer
	// Fleet returns the configuration in force.
	Fleet rock.FleetSource
	// HostList is the platform's list of hosts.
	HostList rock.HostList
	// Roster returns the entries' status rows.
	Roster Roster
	// Budgets computes the headroom that the budgets leave. It is given each list
	// of hosts that is read. The default is a new reviewer.
	Budgets *budget.Reviewer
	// Order is the order in which a wave maintains hosts; nil means
	// [wave.ByRack].
	Order wave.Order
	// Loads returns the load of the pools for the capacity plan. Nil disables
	// the plan.
	Loads LoadSource
	// Plan holds the settings of the capacity plan.
	Plan plan.Settings
	// ApplyPlan makes the planner create the records of its moves. Otherwise it
	// only lists them in [Runner.Status] for an operator.
	ApplyPlan bool
	// Duties holds further duties to run.
	Duties []Duty
	// Terms holds the durations of the leases.
	Terms lease.Terms
	// Interval is the time between two rounds; the default is 1 s.
	Interval time.Duration
	// Now returns the present time; the default is [time.Now].
	Now func() time.Time
	// Log receives log messages; nil means none.
	Log logrus.FieldLogger
	// Scope receives metrics; nil means none.
	Scope tally.Scope
}

func (s Settings) withDefaults() Settings {
	if s.Interval <= 0 {
		s.Interval = defaultInterval
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Budgets == nil {
		s.Budgets = budget.New(budget.Settings{})
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	if s.Log == nil {
		s.Log = logs.Discard()
	}
	return s
}
