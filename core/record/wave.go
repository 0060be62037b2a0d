package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// Wave is the content of the record of a maintenance wave. The progress of the wave
// is stored in the records of its hosts; see [Maintenance].
type Wave struct {
	spec  WaveSpec
	extra Extra
}

// WaveSpec holds the fields of a [Wave].
type WaveSpec struct {
	// Pools are the names of the pools whose hosts are maintained.
	Pools []string
	// Action is the action that is performed on each host.
	Action Action
	// State is the state of the wave.
	State WaveState
	// MaxParallel is the maximum number of hosts that are unavailable for the wave
	// at the same time.
	MaxParallel int
	// Since is the time at which the state began.
	Since time.Time
	// WaitsFor describes why the wave makes no progress, for operators.
	WaitsFor string
	// CountedOut lists unresponsive entries that, as an operator confirms, cannot
	// place work on the hosts any more, each as "<name>/<incarnation>", or
	// "zone/<zone>" for a zone without an entry.
	CountedOut []string
}

// NewWave returns the wave described by s.
func NewWave(s WaveSpec) Wave { return Wave{spec: s} }

// Spec returns a copy of the wave's fields.
func (w Wave) Spec() WaveSpec {
	s := w.spec
	s.Pools = slices.Clone(s.Pools)
	return s
}

// With returns a copy of w as modified by change; unknown fields are kept.
func (w Wave) With(change func(s *WaveSpec)) Wave {
	w.spec.Pools = slices.Clone(w.spec.Pools)
	change(&w.spec)
	return w
}

// Extra returns the unknown fields.
func (w Wave) Extra() Extra { return w.extra }

// Kind implements [Body].
func (w Wave) Kind() rock.Kind { return rock.KindWave }

// waveFields are the fields of schema version 1.
var waveFields = []string{"pools", "action", "state", "max_parallel", "since", "waits_for", "counted_out"}

// Encode implements [Body].
func (w Wave) Encode(int) (json.RawMessage, error) {
	s := w.spec
	o := object{"pools": s.Pools, "action": s.Action, "state": s.State, "max_parallel": s.MaxParallel}
	if !s.Since.IsZero() {
		o["since"] = s.Since.UTC()
	}
	if s.WaitsFor != "" {
		o["waits_for"] = s.WaitsFor
	}
	if len(s.CountedOut) > 0 {
		o["counted_out"] = s.CountedOut
	}
	return o.encode(w.extra, waveFields)
}

// decodeWave decodes a wave; f collects the invalid fields.
func decodeWave(f *fields) Wave {
	s := WaveSpec{
		Action:      oneOf(f, "action", RebootAction, DrainAction),
		State:       oneOf(f, "state", WavePlanned, WaveRunning, WavePaused, WaveAborted, WaveDone),
		MaxParallel: int(f.count("max_parallel", 1, maxHostCount, true)),
		Since:       f.time("since"),
		WaitsFor:    f.text("waits_for"),
		CountedOut:  f.textList("counted_out"),
	}
	for i, data := range f.list("pools") {
		var name string
		field := fmt.Sprintf("pools[%d]", i)
		if json.Unmarshal(data, &name) != nil || rock.CheckName(name) != nil {
			f.addInvalid(field, data, "the name of a pool")
			continue
		}
		if slices.Contains(s.Pools, name) {
			f.addInvalid(field, data, "each pool once")
		}
		s.Pools = append(s.Pools, name)
	}
	if len(s.Pools) == 0 {
		f.addMissing("pools", "at least one pool")
	}
	return Wave{spec: s, extra: f.extra()}
}
