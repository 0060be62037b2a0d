package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// Wave is the content of the record of a maintenance wave. How far the wave is
// stands in the records of its hosts; see [Maintenance].
type Wave struct {
	spec  WaveSpec
	extra Extra
}

// WaveSpec holds the parts of a [Wave].
type WaveSpec struct {
	// Pools are the pools whose hosts are maintained.
	Pools []string
	// Action is what is done to each host.
	Action Action
	// State is the state of the wave.
	State WaveState
	// MaxParallel limits the hosts that are away at the same time.
	MaxParallel int
	// Since is when the state was reached.
	Since time.Time
	// WaitsFor says why the wave does not go on.
	WaitsFor string
	// CountedOut names silent entries that an operator vouches for, each as
	// "<name>/<incarnation>", or "zone/<zone>" for a zone without an entry.
	CountedOut []string
}

// NewWave returns the wave described by s.
func NewWave(s WaveSpec) Wave { return Wave{spec: s} }

// Spec returns a copy of the wave's parts.
func (w Wave) Spec() WaveSpec {
	s := w.spec
	s.Pools = slices.Clone(s.Pools)
	return s
}

// With returns a copy of w as changed by the function; unknown fields are kept.
func (w Wave) With(change func(s *WaveSpec)) Wave {
	w.spec.Pools = slices.Clone(w.spec.Pools)
	change(&w.spec)
	return w
}

// Extra returns the fields that this program does not know.
func (w Wave) Extra() Extra { return w.extra }

// Kind implements [Body].
func (w Wave) Kind() rock.Kind { return rock.KindWave }

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
