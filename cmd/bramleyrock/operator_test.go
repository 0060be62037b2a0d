package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"
)

// TestHostMovesBetweenPools moves a host while both pools are served, and
// judges from the targets' side that no host ran tasks of two pools.
func TestHostMovesBetweenPools(t *testing.T) {
	d := deploy(t)
	out, errs, status := d.cli("host", "move", "h2", "lids", "--name", "m1", "--why", "lids needs it")
	assert.Equal(t, status, exitOK, errs)
	assert.Assert(t, cmp.Contains(out, "created move/m1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		out, errs, _ := d.cli("get", "move/m1")
		if !strings.Contains(out, `"state":"done"`) {
			return poll.Continue("move is %s %s", out, errs)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	out, errs, status = d.cli("get", "host/h2")
	assert.Equal(t, status, exitOK, errs)
	assert.Assert(t, cmp.Contains(out, `"pool":"lids"`))
	out, errs, status = d.cli("audit", "--kind", "move", "--output", "json")
	assert.Equal(t, status, exitOK, errs)
	var changes []struct{ Who, Why string }
	assert.NilError(t, json.Unmarshal([]byte(out), &changes))
	assert.Assert(t, len(changes) > 1, out)
	assert.Equal(t, changes[0].Who+": "+changes[0].Why, "operator: lids needs it")
	out, errs, status = d.cli("history", "move/m1")
	assert.Equal(t, status, exitOK, errs)
	assert.Assert(t, !strings.Contains(out, "host/h2"), "other records of the same changes are shown:\n%s", out)
	d.checkOnePool()
}

// checkOnePool fails if a target held tasks of two pools at the same time.
func (d *deployment) checkOnePool() {
	d.t.Helper()
	for host, runs := range d.runs() {
		for i, r := range runs {
			for _, s := range runs[:i] {
				apart := !r.End.IsZero() && !s.Start.Before(r.End) || !s.End.IsZero() && !r.Start.Before(s.End)
				assert.Assert(d.t, r.Pool == s.Pool || apart, "%s ran %s and %s at the same time", host, r.Pool, s.Pool)
			}
		}
	}
}

// TestBudgetStopsSecondDrain drains two hosts of three whose budget is two.
func TestBudgetStopsSecondDrain(t *testing.T) {
	d := deploy(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, errs, status := d.cli("host", "drain", "h1")
		if status != exitOK {
			return poll.Continue("%s", errs)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	_, errs, status := d.cli("host", "drain", "h2")
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, cmp.Contains(errs, "budget_exceeded"))
	_, errs, status = d.cli("host", "release", "h1")
	assert.Equal(t, status, exitOK, errs)
}

// TestBadInput gives wrong input to the command line; each mistake gets one
// clear message and leaves the records as they were.
func TestBadInput(t *testing.T) {
	d := deploy(t)
	before, _, _ := d.cli("audit", "--output", "json")
	file := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	host := `{"kind":"host","name":"h9","schema_version":1,"body":{"address":"127.0.0.1:1","zone":"a","rack":"a1","pool":"tins","generation":1,"slots":8,"open":true}}`
	cases := map[string]struct {
		args   []string
		status int
		want   string
	}{
		"no such file":           {[]string{"apply", "-f", "missing.json"}, exitUsage, "missing.json"},
		"malformed JSON":         {[]string{"apply", "-f", file("a", `{"kind":`)}, exitUsage, "value 1"},
		"unknown field":          {[]string{"apply", "-f", file("a", `{"kind":"pool","nam":"x"}`)}, exitUsage, `"nam"`},
		"unknown kind":           {[]string{"apply", "-f", file("a", `{"kind":"shelf","name":"x","schema_version":1,"body":{}}`)}, exitFailed, `"shelf"`},
		"unknown schema version": {[]string{"apply", "-f", file("a", `{"kind":"pool","name":"x","schema_version":9,"body":{}}`)}, exitFailed, "9"},
		"name with a slash":      {[]string{"apply", "-f", file("a", `{"kind":"pool","name":"x/y","schema_version":1,"body":{}}`)}, exitFailed, `"x/y"`},
		"control character":      {[]string{"apply", "-f", file("a", `{"kind":"pool","name":"x\u0007","schema_version":1,"body":{}}`)}, exitFailed, `x\a`},
		"negative budget":        {[]string{"apply", "-f", file("a", `{"kind":"budget","name":"x","schema_version":1,"body":{"pool":"tins","min_available":-1}}`)}, exitFailed, "min_available"},
		"pool that is missing":   {[]string{"apply", "-f", file("a", strings.Replace(host, "tins", "cans", 1))}, exitFailed, "cans"},
		"host in two files":      {[]string{"apply", "-f", file("a", host), "-f", file("b", host)}, exitUsage, "host/h9 stands also in"},
		"stale version":          {[]string{"apply", "-f", file("a", `{"kind":"pool","name":"tins","schema_version":1,"version":7,"body":{"organisation":"beta","spare":false}}`)}, exitFailed, "current:"},
		"wrong token":            {[]string{"get", "pool", "--token", "nonsense"}, exitFailed, "unauthenticated"},
		"caller as operator":     {[]string{"host", "drain", "h1", "--token", callerToken}, exitFailed, "forbidden"},
		"host that is missing":   {[]string{"host", "drain", "h9"}, exitFailed, "not_found"},
		"move to no pool":        {[]string{"host", "move", "h1", "cans"}, exitFailed, "cans"},
		"unknown kind to get":    {[]string{"get", "shelf"}, exitUsage, `"shelf"`},
		"payload is not JSON":    {[]string{"call", "tins", "{", "--token", callerToken}, exitUsage, "not JSON"},
		"pool of another":        {[]string{"call", "lids", "{}", "--token", callerToken}, exitFailed, "verdict not_run"},
		"too few arguments":      {[]string{"call", "tins"}, exitUsage, "usage: bramleyrock call POOL JSON"},
		"unknown flag":           {[]string{"get", "pool", "--nonsense"}, exitUsage, "--nonsense"},
		"bad setting":            {[]string{"get", "pool", "--timeout", "never"}, exitUsage, "BRAMLEYROCK_TIMEOUT"},
		"unreachable entry":      {[]string{"get", "pool", "--operator", "http://127.0.0.1:1"}, exitFailed, "unavailable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, errs, status := d.cli(c.args...)
			assert.Equal(t, status, c.status, errs)
			assert.Assert(t, cmp.Contains(errs, c.want))
		})
	}
	after, _, _ := d.cli("audit", "--output", "json")
	assert.Equal(t, after, before)
}

// TestEnvironmentOfNonsense starts an entry with wrong settings: every mistake
// is named at once.
func TestEnvironmentOfNonsense(t *testing.T) {
	var errs strings.Builder
	a := &app{in: strings.NewReader(""), out: &errs, errs: &errs, environ: []string{
		"BRAMLEYROCK_NAME=a/b", "BRAMLEYROCK_ZONE=", "BRAMLEYROCK_PEER_SECRET=short", "BRAMLEYROCK_READ_TIMEOUT=-1s", "BRAMLEYROCK_SHELF=1",
	}}
	assert.Equal(t, a.run(t.Context(), []string{"entry", "--check-settings"}), exitUsage)
	for _, want := range []string{"5 mistakes", "BRAMLEYROCK_NAME", "BRAMLEYROCK_ZONE", "BRAMLEYROCK_PEER_SECRET", "BRAMLEYROCK_READ_TIMEOUT", "BRAMLEYROCK_SHELF"} {
		assert.Assert(t, cmp.Contains(errs.String(), want))
	}
}
