package site

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Settings holds the parameters of a [Site].
type Settings struct {
	// Name names the entry, unlike any other that runs.
	Name string
	// Holder names the entry's host in orders about hosts.
	Holder string
	// CPUShare is the share of a core that the entry may use; those with more
	// own cells first.
	CPUShare float64
	// Store is the platform's table.
	Store rock.Store
	// Workers gives orders to workers.
	Workers rock.Workers
	// Adviser knows where the steps of some queues may run; nil if there is
	// none.
	Adviser rock.Adviser
	// Hosts changes hosts.
	Hosts rock.HostControl
	// PlatformTables tells where the operator's and the workers' rows are.
	PlatformTables PlatformTables
	// LeaseDuration is the lease that workers are given.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that workers grant.
	MaxLeaseDuration time.Duration
	// MaxStopDuration, Far, Early, Keep and HolderGap are bounds of the platform: the
	// time that a stop takes, the slowdown away from data, how early a task
	// may start, how long an ended job stays known, and the time between
	// orders of two holders for one host.
	MaxStopDuration  time.Duration
	RemoteSlowdown   float64
	MaxEarlyStart    time.Duration
	OutcomeRetention time.Duration
	MinHolderGap     time.Duration
	// Clock returns the present time on a steady clock that counts
	// suspensions.
	Clock func() time.Time
	// Log receives decisions and changes of belief.
	Log *logrus.Logger
	// Scope receives the counters.
	Scope tally.Scope
}

// PlatformTables tells where the operator's and the workers' rows are and how they
// are decoded.
type PlatformTables struct {
	// OperatorTable holds the configuration, in the row ConfigName, and the
	// waves, in rows that begin with WavePrefix.
	OperatorTable string
	ConfigName    string
	WavePrefix    string
	// WorkerTable holds the registrations of workers, by id.
	WorkerTable string
	// StatusTable receives the state of waves.
	StatusTable string

	DecodeConfig func(value []byte) (works.Config, error)
	DecodeWorker func(id string, value []byte, readAt time.Time) (rock.Worker, error)
	DecodeWave   func(value []byte) (rock.MaintenanceWave, error)
	EncodeWave   func(complete bool) []byte
}
