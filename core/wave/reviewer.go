package wave

import (
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Reviewer implements [rock.Reviewer]. It refuses changes after which more hosts
// would be closed for a wave than its max_parallel, and changes of a wave's
// record that are not allowed in the wave's state.
type Reviewer struct{}

var _ rock.Reviewer = Reviewer{}

// Review implements [rock.Reviewer]. All its failures have the reason
// [rock.BadInput] and the verdict [rock.NotRun].
func (Reviewer) Review(_ time.Time, before rock.Fleet, edits []rock.Edit) error {
	closing := map[string][]rock.Edit{}
	for _, e := range edits {
		switch e.Key().Kind() {
		case rock.KindWave:
			if err := checkWave(before, e); err != nil {
				return err
			}
		case rock.KindHost:
			if w := closedFor(before, e); w != "" {
				closing[w] = append(closing[w], e)
			}
		}
	}
	for w, hosts := range closing {
		if err := checkParallel(before, w, hosts); err != nil {
			return err
		}
	}
	return nil
}

// refuse returns the failure of the edit, with the formatted text as its cause.
func refuse(e rock.Edit, format string, args ...any) error {
	return rock.Fail("review", e.Key().String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// closedFor returns the wave for which the edit closes an open host, or "".
func closedFor(before rock.Fleet, e rock.Edit) string {
	if was, ok := before.Host(e.Key().Name()); !ok || !was.Open() || e.To() == nil {
		return ""
	}
	is, err := record.HostSpecOf(*e.To())
	if err != nil || is.Open {
		return ""
	}
	key, err := rock.ParseKey(is.ClosedBy)
	if err != nil || key.Kind() != rock.KindWave {
		return ""
	}
	return key.Name()
}

// checkParallel returns a failure if the wave does not exist or is not running,
// or if closing the hosts would exceed its max_parallel.
func checkParallel(before rock.Fleet, name string, closing []rock.Edit) error {
	r, ok := before.Record(rock.NewKey(rock.KindWave, name))
	if !ok {
		return refuse(closing[0], "field closed_by: wave %s does not exist", name)
	}
	w, err := record.WaveSpecOf(r)
	if err != nil {
		return refuse(closing[0], "%w", err)
	}
	if w.State != record.WaveRunning {
		return refuse(closing[0], "wave %s is %s: it closes hosts only while it is running", name, w.State)
	}
	if n := ownedHosts(before, name, w.Pools) + len(closing); n > w.MaxParallel {
		return refuse(closing[0], "wave %s would hold %d hosts closed: its max_parallel is %d", name, n, w.MaxParallel)
	}
	return nil
}

// ownedHosts returns how many hosts of the pools are closed for the wave.
func ownedHosts(fleet rock.Fleet, name string, pools []string) int {
	n := 0
	for _, pool := range pools {
		for _, h := range fleet.PoolHosts(pool, "") {
			if h.Open() {
				continue
			}
			r, _ := fleet.Record(rock.NewKey(rock.KindHost, h.Name()))
			if body, err := record.HostSpecOf(r); err == nil && body.ClosedBy == owner(name) {
				n++
			}
		}
	}
	return n
}

// nextStates lists the states that may follow each state, separated by spaces.
// The key "" stands for a wave that does not exist yet.
var nextStates = map[record.WaveState]string{
	"":                 "planned running",
	record.WavePlanned: "planned running aborted",
	record.WaveRunning: "running paused aborted done",
	record.WavePaused:  "paused running aborted",
	record.WaveAborted: "aborted",
	record.WaveDone:    "done",
}

// checkWave returns a failure if the edit deletes a wave that has not ended or
// still has closed hosts, makes a state transition that is not allowed, or
// changes the action.
func checkWave(before rock.Fleet, e rock.Edit) error {
	var was, is record.WaveSpec
	var err error
	if e.From() != nil {
		if was, err = record.WaveSpecOf(*e.From()); err != nil {
			return refuse(e, "%w", err)
		}
	}
	name := e.Key().Name()
	if e.To() == nil {
		if n := ownedHosts(before, name, was.Pools); !was.State.Ended() || n > 0 {
			return refuse(e, "the wave is %s and holds %d hosts closed: abort it before it is deleted", was.State, n)
		}
		return nil
	}
	if is, err = record.WaveSpecOf(*e.To()); err != nil {
		return refuse(e, "%w", err)
	}
	if allowed := nextStates[was.State]; !strings.Contains(" "+allowed+" ", " "+string(is.State)+" ") {
		return refuse(e, "state %q cannot follow %q: want one of: %s", is.State, was.State, allowed)
	}
	if e.From() != nil && was.Action != is.Action {
		return refuse(e, "field action cannot change from %q to %q: abort the wave and plan another", was.Action, is.Action)
	}
	return nil
}
