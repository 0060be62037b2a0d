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
	// Changer makes the steps' changes.
	Changer rock.Changer
	// Fleet gives the configuration in force.
	Fleet rock.FleetSource
	// HostList is the platform's list of hosts.
	HostList rock.HostList
	// Roster gives the entries' status rows.
	Roster Roster
	// Budgets is told the list of hosts, and says what the budgets leave.
	Budgets *budget.Reviewer
	// Order is the order in which a wave takes hosts; nil means
	// [wave.ByDomain].
	Order wave.Order
	// LoadSource gives the load of the pools for the capacity plan; nil for no plan.
	Loads LoadSource
	// Plan are the settings of the capacity plan.
	Plan plan.Settings
	// ApplyPlan makes the plan ask for its moves instead of only naming them.
	ApplyPlan bool
	// Duties are further duties.
	Duties []Duty
	// Terms are the durations of the leases.
	Terms lease.Terms
	// Interval is the time between two rounds; the default is 1 s.
	Interval time.Duration
	// Now returns the present time; the default is [time.Now].
	Now func() time.Time
	// Log takes the log; nil for none.
	Log logrus.FieldLogger
	// Scope takes the metrics; nil for none.
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
