package rock

import "time"

// Usage is a target's report of its load. It may be out of date.
type Usage struct {
	busy  int
	slots int
	asOf  time.Time
}

// NewUsage returns a report of busy slots out of all slots as of a time.
func NewUsage(busy, slots int, asOf time.Time) Usage {
	return Usage{busy: busy, slots: slots, asOf: asOf}
}

// Busy returns the number of slots in use.
func (u Usage) Busy() int { return u.busy }

// Slots returns the number of slots.
func (u Usage) Slots() int { return u.slots }

// AsOf returns the time at which the report was true.
func (u Usage) AsOf() time.Time { return u.asOf }
