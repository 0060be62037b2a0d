package drive

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

// record is a directory in which traces are recorded, or "".
var record = flag.String("record", "", "record traces in this directory")

// small is a surge of a zone small enough for a trace to be kept.
func small(surge bool) plan {
	p := today(2, surge)
	p.pools, p.hosts, p.slots = 3, 2, 4
	p.service, p.even, p.length = 200*time.Millisecond, true, 12*time.Second
	const holds = 40 // requests a second
	p.rate = func(pool int, at time.Duration) float64 {
		switch {
		case pool > 0:
			return 0.6 * holds
		case surge && at >= 4*time.Second && at < 9*time.Second:
			return 5 * 0.5 * holds
		case surge && at >= 9*time.Second:
			return 0.5 * holds / 20
		default:
			return 0.5 * holds
		}
	}
	return p
}

// surgeTrace plays a surge of pool p0 after a run without, and returns its
// events.
func surgeTrace(change func(p *plan)) *trace.Log {
	plans := []plan{small(false), small(true)}
	log := &trace.Log{}
	for i := range plans {
		if change != nil {
			change(&plans[i])
		}
	}
	plans[1].log = log
	baseline := newDrive(small(false)).run()
	for label, c := range baseline {
		e := trace.Event{At: start, Kind: trace.Baseline, Pool: fmt.Sprint("p", label), DelayMS: float64(c.p(0.99)) / float64(time.Millisecond)}
		if label == 0 {
			e = trace.Event{At: start, Kind: trace.Baseline, Pool: "p0", Rate: 40}
		}
		log.Add(e)
	}
	log.Add(trace.Event{At: start.Add(4 * time.Second), Kind: trace.SurgeStarted, Pool: "p0"}, trace.Event{At: start.Add(9 * time.Second), Kind: trace.SurgeEnded, Pool: "p0"})
	newDrive(plans[1]).run()
	return log
}

// TestRecord judges a surge by the outcome "isolation", with the pools' own
// queues and with plain FIFO queues, and records both if asked to.
func TestRecord(t *testing.T) {
	cases := map[string]struct {
		change func(p *plan)
		broken bool
	}{
		"surge_scheduled": {nil, false},
		"surge_fifo":      {baselines["plain FIFO"], true},
	}
	outcomes, err := trace.Select("isolation")
	assert.NilError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := surgeTrace(c.change)
			found := trace.Check(log.Events(), outcomes)
			t.Log(found)
			assert.Equal(t, len(found) > 0, c.broken)
			out := io.Discard
			if *record != "" {
				f, err := os.Create(filepath.Join(*record, name+".jsonl"))
				assert.NilError(t, err)
				defer f.Close()
				out = f
			}
			assert.NilError(t, log.WriteTrace(out, trace.Header{
				Name: name, Seed: 2, Outcomes: []string{"isolation"},
				Command: "go test ./core/sched -run TestRecord -record DIRECTORY",
			}))
		})
	}
}
