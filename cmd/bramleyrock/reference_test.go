package main

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestSettingsReference compares docs/settings.md with the flags. Run it with
// -update to write the page anew.
func TestSettingsReference(t *testing.T) {
	a := &app{}
	assert.Assert(t, golden.String(a.reference(), "../../../docs/settings.md"))
}
