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
	// Name identifies the entry. No other running entry has the same name.
	Name string
	// Holder is the name of the entry's host, sent as the holder in orders for hosts.
	Holder string
	// CPUShare is the share of a core that the entry may use. Entries with a
	// larger share acquire cells earlier.
	CPUShare float64
	// Store is the platform's table.
	Store rock.Store
	// MaxRowBytes is the largest size of a row's value in the table, in bytes, or 0 for
	// [DefaultMaxRowBytes].
	MaxRowBytes int
	// Workers sends orders to workers.
	Workers rock.Workers
	// Adviser says on which workers the steps of some queues may run. It is nil
	// if there is none.
	Adviser rock.Adviser
	// Hosts lists hosts and sends orders to move or maintain them.
	Hosts rock.HostControl
	// HostOrderRate is the number of orders for hosts that the platform takes a second
	// from all entries together.
	HostOrderRate float64
	// PlatformTables names the tables of the operator and of the workers.
	PlatformTables PlatformTables
	// LeaseDuration is the duration of the leases given to workers.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a worker grants.
	MaxLeaseDuration time.Duration
	// MaxStopDuration is the longest time that a worker takes to stop a task.
	MaxStopDuration time.Duration
	// RemoteSlowdown is the factor by which a task runs longer away from its data.
	RemoteSlowdown float64
	// MaxEarlyStart is how long before its scheduled time a task may start.
	MaxEarlyStart time.Duration
	// OutcomeRetention is how long callers may ask for the state of an ended job.
	OutcomeRetention time.Duration
	// MinHolderGap is the least time between the orders of two holders for the
	// same host.
	MinHolderGap time.Duration
	// Clock returns the current time of a monotonic clock that also counts the
	// time for which the process is suspended.
	Clock func() time.Time
	// Log receives decisions and state changes.
	Log *logrus.Logger
	// Scope receives the metrics.
	Scope tally.Scope
}

// DefaultMaxRowBytes is the largest size of a row's value if the settings give none.
const DefaultMaxRowBytes = 48 << 10

func (s *Settings) maxRowBytes() int {
	if s.MaxRowBytes <= 0 {
		return DefaultMaxRowBytes
	}
	return s.MaxRowBytes
}

// PlatformTables names the tables that the operator and the workers write, and
// decodes their rows.
type PlatformTables struct {
	// OperatorTable holds the configuration, in the row ConfigName, and the
	// maintenance waves, in the rows whose names begin with WavePrefix.
	OperatorTable string
	ConfigName    string
	WavePrefix    string
	// WorkerTable holds the registrations of workers, by worker id.
	WorkerTable string
	// StatusTable receives the states of waves.
	StatusTable string

	DecodeConfig func(value []byte) (works.Config, error)
	DecodeWorker func(id string, value []byte, readAt time.Time) (rock.Worker, error)
	DecodeWave   func(value []byte) (rock.MaintenanceWave, error)
	EncodeWave   func(complete bool) []byte
}
