package crew

import (
	"math/rand/v2"
	"time"

	rock "bramleyrock"
)

// Settings are the settings of an [Entry].
type Settings struct {
	// Member is the entry's identity.
	Member rock.Member
	// Source is the configuration as the platform has it.
	Source rock.FleetSource
	// Floor is the targets.
	Floor *Floor
	// Registry takes the status rows.
	Registry *Registry
	// Random is the source of choices.
	Random *rand.Rand
	// TaskTime is the longest time that a task runs, for [Entry.FinishDue].
	TaskTime time.Duration
	// FenceAfter makes the entry place nothing if it has not reached the
	// platform for that long; 0 means never.
	FenceAfter time.Duration
	// NoRecheck makes the entry send without looking again, after it counted
	// the task as in flight, whether the host is still open.
	NoRecheck bool
	// PlaceUnregistered makes the entry place before its first status row was
	// written.
	PlaceUnregistered bool
	// PlaceListed makes the entry place once its first status row was written,
	// without reading the configuration again after that.
	PlaceListed bool
}
