package record

import (
	"math"
	"time"

	rock "bramleyrock"
)

// Maintenance is a host's progress in a wave.
type Maintenance struct {
	// Wave is the name of the wave.
	Wave string
	// Step is the current step of the host.
	Step MaintenanceStep
	// Since is the time at which the step began.
	Since time.Time
	// LastOpenRevision is the last revision in which the host is known to be open.
	LastOpenRevision rock.Revision
	// Boots is how often the host had booted before the wave rebooted it.
	Boots uint64

	extra Extra
}

// toObject returns the progress as a JSON object, with its unknown fields.
func (m *Maintenance) toObject() object {
	o := object{}
	for _, name := range m.extra.Names() {
		o[name] = m.extra.Get(name)
	}
	o["wave"] = m.Wave
	o["step"] = m.Step
	o["since"] = m.Since.UTC()
	o["after"] = m.LastOpenRevision
	o["boots"] = m.Boots
	return o
}

// decodeMaintenance decodes the progress of a host; f collects the invalid fields.
func decodeMaintenance(f *fields) *Maintenance {
	return &Maintenance{
		Wave:             f.name("wave", "the name of a wave", true),
		Step:             oneOf(f, "step", StepDraining, StepRebooting, StepDone),
		Since:            f.time("since"),
		LastOpenRevision: rock.Revision(f.count("after", 0, math.MaxInt64, false)),
		Boots:            f.count("boots", 0, math.MaxInt64, false),
		extra:            f.extra(),
	}
}
