package targ_test

import (
	"flag"
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"bramleyrock/core/trace"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

// record is a directory in which traces are recorded, or "".
var record = flag.String("record", "", "record traces in this directory")

// TestMain keeps net/http from logging the faults that the tests make.
func TestMain(m *testing.M) {
	flag.Parse()
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestRecord records what the client and the plain client make of answers that
// come out of order. Without the flag it only checks that it could.
func TestRecord(t *testing.T) {
	c := targ.New(targ.Settings{Probe: probe, CallTimeout: 4 * probe})
	defer c.Close()
	runners := map[string]runner{"out_of_order_checked": c.Run, "out_of_order_plain": plain}
	for name, run := range runners {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			linkFaults()["out of order"].make(b)
			b.load(t, run, 4, 5, 10*time.Second)
			b.judge()
			keep(t, &b.log, name, 1)
		})
	}
}

// TestRecordSchedules records a schedule in which the client without the
// mechanisms breaks verdicts, and what the real client makes of it.
func TestRecordSchedules(t *testing.T) {
	const seed = 2
	clients := map[string]func(w *wire) (runner, func()){
		"schedule_checked": checked, "schedule_believing": believing,
	}
	for name, client := range clients {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(seed)
			run, closeClient := client(s.wire)
			defer closeClient()
			s.run(t, run)
			keep(t, &s.log, name, seed)
		})
	}
}

// keep records a trace, or only checks that it could if the flag is not set.
func keep(t *testing.T, l *trace.Log, name string, seed uint64) {
	t.Helper()
	out := io.Discard
	if *record != "" {
		f, err := os.Create(filepath.Join(*record, name+".jsonl"))
		assert.NilError(t, err)
		defer f.Close()
		out = f
	}
	assert.NilError(t, l.WriteTrace(out, trace.Header{
		Name: name, Seed: seed, Command: "go test ./io/targ -run TestRecord -record DIRECTORY",
	}))
}
