package main

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestExperimentRepeats plays an experiment twice with the same seed.
func TestExperimentRepeats(t *testing.T) {
	var first, second, errs bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		a := &app{out: out, errs: &errs}
		assert.Equal(t, a.run(t.Context(), []string{"experiment", "sharing", "--seeds", "1", "--load-percent", "50"}), exitOK, errs.String())
	}
	assert.Equal(t, first.String(), second.String())
	assert.Assert(t, cmp.Contains(first.String(), "WAY"))
}
