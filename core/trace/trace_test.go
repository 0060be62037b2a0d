package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

// load reads the trace testdata/<name>.jsonl.
func load(t *testing.T, name string) (trace.Header, []trace.Event) {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name+".jsonl"))
	assert.NilError(t, err)
	defer f.Close()
	h, events, err := trace.Read(f)
	assert.NilError(t, err)
	return h, events
}

// TestGoodTraceBreaksNothing guards against outcomes that report violations in a
// correct trace.
func TestGoodTraceBreaksNothing(t *testing.T) {
	_, events := load(t, "good")
	for _, v := range trace.Check(events, trace.Outcomes()) {
		t.Error(v)
	}
}

// TestBrokenTraces checks each trace that violates one outcome against all
// outcomes. Only that outcome may be reported, with the line that caused it.
func TestBrokenTraces(t *testing.T) {
	tests := map[string]struct {
		line   int
		detail string
	}{
		"whole_answers":      {13, "answer sha256:r1 of request r2 is not the result of any of its tasks"},
		"not_run_true":       {7, "request r1 was refused as not_run, but h1 started it as task r1.1 on line 5"},
		"at_most_once":       {11, "h2 started request r2, which is not idempotent; h1 started it before, on line 5"},
		"leaving_left_alone": {15, "h1 started task r2.1 6.011s after it was closed"},
		"nothing_cut":        {10, "e1 stopped with request r1 in flight"},
		"one_pool_per_host":  {9, "h1 started task r2.1 of pool lids while task r1.1 of pool tins was running since line 5"},
		"budget_holds":       {7, "taking h2 away leaves pool tins with 1 available hosts: its budget needs 2"},
		"in_force_within":    {4, "revision 1 was not in force at e2 after 10s: revision 0 was"},
		"never_older":        {7, "e1 put revision 6 in force after revision 7"},
		"lease_one_holder":   {4, "e1 acted for duty wave/w1 at epoch 1, but the newest epoch is 2"},
		"urgent_within":      {5, "urgent request r1 was started after 8.001s"},
		"isolation":          {17, "99th percentile of the delay in pool lids is 50ms during the surge of tins, without it 10ms"},
	}
	for _, o := range trace.Outcomes() {
		t.Run(o.Name(), func(t *testing.T) {
			want, ok := tests[o.Name()]
			assert.Assert(t, ok, "want a trace that violates each outcome")
			_, events := load(t, "broken_"+o.Name())
			found := trace.Check(events, trace.Outcomes())
			assert.Assert(t, len(found) > 0)
			for _, v := range found {
				assert.Equal(t, v.Outcome(), o.Name())
			}
			assert.Equal(t, found[0].Line(), want.line)
			assert.Equal(t, found[0].Detail(), want.detail)
		})
	}
}

// TestReaderNamesTheLine checks that the reader rejects invalid traces and that its
// errors name the line and the fault.
func TestReaderNamesTheLine(t *testing.T) {
	const header = `{"format":"bramleyrock_trace","version":1}` + "\n"
	tests := map[string]struct{ input, want string }{
		"empty":           {"", "line 1: header is missing: the trace is empty"},
		"other format":    {`{"format":"x","version":1}`, `line 1: format "x": want "bramleyrock_trace"`},
		"other version":   {`{"format":"bramleyrock_trace","version":2}`, "line 1: version 2: want 1"},
		"unknown outcome": {`{"format":"bramleyrock_trace","version":1,"outcomes":["x"]}`, `outcome "x" is not known: want one of whole_answers`},
		"unknown event":   {header + `{"at":"2026-12-04T06:00:00Z","event":"x"}`, `line 2: event "x" is not known`},
		"unknown field":   {header + `{"at":"2026-12-04T06:00:00Z","event":"fault","x":1}`, `line 2: json: unknown field "x"`},
		"missing time":    {header + `{"event":"fault","note":"n"}`, `line 2: event "fault": at is missing: want the time of the event`},
		"missing fields":  {header + `{"at":"2026-12-04T06:00:00Z","event":"sent","entry":"e"}`, `line 2: event "sent": request_id, task_id, host missing`},
		"wrong verdict":   {header + `{"at":"2026-12-04T06:00:00Z","event":"refused","request_id":"r","verdict":"no","reason":"x"}`, `verdict "no": want not_run, may_have_run or ran`},
		"cut short":       {header + `{"at":"2026-12-04T06:00`, "line 2: unexpected EOF"},
		"two values":      {header + `{"at":"2026-12-04T06:00:00Z","event":"fault","note":"n"}{}`, "line 2: more than one JSON value on the line"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := trace.Read(strings.NewReader(test.input))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestLogWritesWhatIsRead checks that a written log is read back unchanged, that a nil
// log drops events, and that an invalid event is not written.
func TestLogWritesWhatIsRead(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	var log, nilLog *trace.Log = new(trace.Log), nil
	log.Add(trace.Event{At: start.Add(time.Second), Kind: trace.EntryStopped, Entry: "e1"})
	log.Add(trace.Event{At: start, Kind: trace.EntryStarted, Entry: "e1"})
	nilLog.Add(trace.Event{})
	assert.Equal(t, len(nilLog.Events()), 0)
	var b bytes.Buffer
	assert.NilError(t, log.WriteTrace(&b, trace.Header{Name: "two", Seed: 7}))
	h, events, err := trace.Read(&b)
	assert.NilError(t, err)
	assert.Equal(t, h.Seed, uint64(7))
	assertSameEvents(t, events, log.Events())
	assert.Equal(t, events[0].Kind, trace.EntryStarted)
	assert.Equal(t, events[0].Line(), 2)
	log.Add(trace.Event{At: start, Kind: trace.Sent})
	assert.ErrorContains(t, log.WriteTrace(&b, trace.Header{}), "entry, request_id, task_id, host missing")
}

// TestCutOffEntriesAreExempt checks that an entry that is cut off, and so cannot
// know that a host is closed, may still send tasks to it.
func TestCutOffEntriesAreExempt(t *testing.T) {
	_, events := load(t, "broken_leaving_left_alone")
	cut := trace.Event{At: events[0].At, Kind: trace.EntryCut, Entry: "e1"}
	assert.Equal(t, len(trace.Check(append(events, cut), trace.Outcomes())), 0)
}

// TestRecordedTraces checks recorded traces and expects exactly the listed outcomes
// to be violated. The header of each trace says how it was recorded.
func TestRecordedTraces(t *testing.T) {
	tests := map[string][]string{
		"out_of_order_checked": {},
		"out_of_order_plain":   {"whole_answers"},
		"schedule_checked":     {},
		"schedule_believing":   {"at_most_once", "not_run_true", "whole_answers"},
		"resends_keyed":        {},
		"resends_unkeyed":      {"at_most_once"},
		"surge_fifo":           {"isolation"},
		"surge_scheduled":      {},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			h, events := load(t, filepath.Join("recorded", name))
			assert.Equal(t, h.Name, name)
			outcomes, err := trace.Select(h.Outcomes...)
			assert.NilError(t, err)
			violated := []string{}
			for _, v := range trace.Check(events, outcomes) {
				violated = append(violated, v.Outcome())
			}
			slices.Sort(violated)
			assert.DeepEqual(t, slices.Compact(violated), want)
		})
	}
}
