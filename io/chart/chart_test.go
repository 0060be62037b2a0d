package chart_test

import (
	"bytes"
	"strings"
	"testing"

	"bramleyrock/core/plan"
	"bramleyrock/io/chart"

	"gotest.tools/v3/assert"
)

var rows = []plan.Tradeoff{
	{Deployment: "zarqa", Policy: "static", Hosts: 52, IdleShare: 0.42, LateShare: 0.0118, RollOutSeconds: 1771, Seed: 1},
	{Deployment: "zarqa", Policy: "moves_first", Hosts: 52, IdleShare: 0.41, LateShare: 0.0098, Moves: 2, Seed: 1},
}

func TestWriteCSV(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, chart.WriteCSV(&b, rows))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, lines[1], "zarqa,static,52,0.42000,0.01180,0,1771,1")
}

func TestWriteSVG(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, chart.WriteSVG(&b, "Buffer against late work", rows))
	assert.Assert(t, strings.Contains(b.String(), "<svg"))
	assert.Assert(t, strings.Contains(b.String(), "zarqa moves_first"))
}

func TestReadRefusesUnknownFields(t *testing.T) {
	_, err := chart.Read(strings.NewReader(`[{"deployment":"zarqa","colour":"red"}]`))
	assert.ErrorContains(t, err, "colour")
	got, err := chart.Read(strings.NewReader(`[{"deployment":"zarqa","hosts":52}]`))
	assert.NilError(t, err)
	assert.Equal(t, got[0].Hosts, 52)
}
