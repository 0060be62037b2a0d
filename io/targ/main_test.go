package targ_test

import (
	"flag"
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"
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
			out := io.Discard
			if *record != "" {
				f, err := os.Create(filepath.Join(*record, name+".jsonl"))
				assert.NilError(t, err)
				defer f.Close()
				out = f
			}
			assert.NilError(t, b.log.WriteTrace(out, trace.Header{
				Name: name, Seed: 1, Command: "go test ./io/targ -run TestRecord -record DIRECTORY",
			}))
		})
	}
}
