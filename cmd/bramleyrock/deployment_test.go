package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleyrock/core/record"
	"bramleyrock/io/client"
	"bramleyrock/io/fakes/work"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	operatorToken = "token-of-the-operator"
	callerToken   = "token-of-line-four"
	otherToken    = "token-of-a-competitor"
	peerSecret    = "secret-shared-by-all-entries"
)

// deployment is a small deployment of processes: a platform, targets h1 and h2
// in availability zone a and h3 in zone b, and entries.
type deployment struct {
	t        *testing.T
	platform string
	targets  map[string]string
	entries  map[string]*entryProcess
}

// entryProcess is an entry and the addresses of its doors.
type entryProcess struct {
	*process
	caller   string
	operator string
	peer     string
}

// deploy starts the processes and applies the records.
func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, targets: map[string]string{}, entries: map[string]*entryProcess{}}
	d.platform = start(t, "platform", "stand-in", "platform", "--address", "127.0.0.1:0", "--host-list-lag", "100ms", "--reboot-time", "300ms").addresses(1)["platform"]
	for _, name := range []string{"h1", "h2", "h3"} {
		d.targets[name] = start(t, name, "stand-in", "target", name, "--address", "127.0.0.1:0", "--platform", "http://"+d.platform).addresses(1)["target"]
	}
	d.startEntry("a1", "a")
	d.startEntry("b1", "b")
	d.apply(d.records())
	return d
}

// startEntry starts an entry, with further arguments, and waits until its doors
// are open.
func (d *deployment) startEntry(name, zone string, further ...string) *entryProcess {
	d.t.Helper()
	p := start(d.t, name, append([]string{"entry", "--name", name, "--zone", zone,
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
		"--platform", "http://" + d.platform, "--peer-secret", peerSecret,
		"--operator-digest", record.Digest(operatorToken), "--balancer-delay", "200ms", "--log-level", "debug"}, further...)...)
	at := p.addresses(3)
	e := &entryProcess{process: p, caller: at["caller"], operator: at["operator"], peer: at["peer"]}
	d.entries[name] = e
	return e
}

// records returns the records of the deployment, as a file of apply.
func (d *deployment) records() string {
	host := func(name, zone string) string {
		return fmt.Sprintf(`{"kind":"host","name":%q,"schema_version":1,"body":{"address":%q,"zone":%q,"rack":%q,"pool":"tins","generation":1,"slots":8,"open":true}}`,
			name, d.targets[name], zone, zone+"1")
	}
	return strings.Join([]string{
		fmt.Sprintf(`{"kind":"organisation","name":"alpha","schema_version":1,"body":{"quota":200,"tokens":[{"name":"line-4","digest":%q,"role":"caller"}]}}`, record.Digest(callerToken)),
		fmt.Sprintf(`{"kind":"organisation","name":"beta","schema_version":1,"body":{"quota":200,"tokens":[{"name":"line-1","digest":%q,"role":"caller"}]}}`, record.Digest(otherToken)),
		`{"kind":"pool","name":"tins","schema_version":1,"body":{"organisation":"alpha","spare":false}}`,
		`{"kind":"pool","name":"lids","schema_version":1,"body":{"organisation":"beta","spare":false}}`,
		host("h1", "a"), host("h2", "a"), host("h3", "b"),
		`{"kind":"budget","name":"tins","schema_version":1,"body":{"pool":"tins","min_available":2}}`,
	}, "\n")
}

// apply applies records through the command line and waits until they are in
// force at every entry.
func (d *deployment) apply(records string) {
	d.t.Helper()
	file := filepath.Join(d.t.TempDir(), "records.json")
	assert.NilError(d.t, os.WriteFile(file, []byte(records), 0o600))
	out, errs, status := d.cli("apply", "-f", file, "--why", "set up", "--output", "json")
	assert.Equal(d.t, status, exitOK, errs)
	var change struct{ Revision uint64 }
	assert.NilError(d.t, json.Unmarshal([]byte(out), &change))
	for _, e := range d.entries {
		d.waitRevision(e, change.Revision)
	}
}

// waitRevision waits until the revision is in force at the entry.
func (d *deployment) waitRevision(e *entryProcess, revision uint64) {
	d.t.Helper()
	c := client.New(client.Settings{BaseURL: "http://" + e.operator, Token: operatorToken})
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		var status struct{ Revision uint64 }
		raw, err := c.Status(context.Background())
		if err != nil {
			return poll.Continue("%s: %v", e.name, err)
		}
		assert.NilError(d.t, json.Unmarshal(raw, &status))
		if status.Revision < revision {
			return poll.Continue("%s is at revision %d", e.name, status.Revision)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// cli runs a command of the command line against entry a1, or against the
// entry named by an earlier --operator or --caller argument.
func (d *deployment) cli(args ...string) (string, string, int) {
	d.t.Helper()
	var out, errs bytes.Buffer
	a := &app{in: strings.NewReader(""), out: &out, errs: &errs, environ: []string{
		"BRAMLEYROCK_OPERATOR=http://" + d.entries["a1"].operator,
		"BRAMLEYROCK_CALLER=http://" + d.entries["a1"].caller,
		"BRAMLEYROCK_TOKEN=" + operatorToken,
	}}
	status := a.run(context.Background(), args)
	return out.String(), errs.String(), status
}

// callerOf returns a client of the entry's caller door.
func (d *deployment) callerOf(name, token string) *client.Client {
	return client.New(client.Settings{BaseURL: "http://" + d.entries[name].caller, Token: token})
}

// runs returns the ledgers of all targets, by host.
func (d *deployment) runs() map[string][]work.Run {
	d.t.Helper()
	all := map[string][]work.Run{}
	for name, address := range d.targets {
		var runs []work.Run
		resp, err := http.Get("http://" + address + "/runs")
		assert.NilError(d.t, err)
		assert.NilError(d.t, json.NewDecoder(resp.Body).Decode(&runs))
		assert.NilError(d.t, resp.Body.Close())
		all[name] = runs
	}
	return all
}

// started returns how many tasks the targets have started in all.
func (d *deployment) started() int {
	n := 0
	for _, runs := range d.runs() {
		n += len(runs)
	}
	return n
}
