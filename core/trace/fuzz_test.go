package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

// assertSameEvents fails the test unless the events have equal line numbers and
// fields.
func assertSameEvents(t *testing.T, got, want []trace.Event) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i, g := range got {
		w := want[i]
		assert.Equal(t, g.Line(), w.Line())
		assert.Assert(t, g.At.Equal(w.At), "line %d", g.Line())
		g.At = w.At
		assert.Equal(t, g, w)
	}
}

// FuzzReader checks that any trace that the reader accepts can be checked against
// all outcomes without a panic, and is unchanged when written and read again.
func FuzzReader(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(f, err)
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, events, err := trace.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		trace.Check(events, trace.Outcomes())
		var log trace.Log
		log.Add(events...)
		var b bytes.Buffer
		assert.NilError(t, log.WriteTrace(&b, trace.Header{}))
		_, again, err := trace.Read(&b)
		assert.NilError(t, err)
		assertSameEvents(t, again, log.Events())
	})
}
