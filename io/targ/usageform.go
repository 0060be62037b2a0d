package targ

import (
	"time"

	rock "bramleyrock"
)

// UsageForm is the JSON form of a target's report of its load.
type UsageForm struct {
	Busy  int       `json:"busy"`
	Slots int       `json:"slots"`
	AsOf  time.Time `json:"as_of"`
}

// FromUsage returns the JSON form of a report.
func FromUsage(u rock.Usage) UsageForm { return UsageForm{u.Busy(), u.Slots(), u.AsOf()} }

// Usage returns the report.
func (f UsageForm) Usage() rock.Usage { return rock.NewUsage(f.Busy, f.Slots, f.AsOf) }
