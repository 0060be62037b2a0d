package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// moveState returns the state of the move's record.
func (d *deployment) moveState(name string) string {
	d.t.Helper()
	out, errs, status := d.cli("get", "move/"+name, "--output", "json")
	assert.Equal(d.t, status, exitOK, errs)
	var records []struct {
		Body struct {
			State string `json:"state"`
		} `json:"body"`
	}
	assert.NilError(d.t, json.Unmarshal([]byte(out), &records))
	return records[0].Body.State
}

// waitMove waits until the move is in the state.
func (d *deployment) waitMove(name, state string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if now := d.moveState(name); now != state {
			return poll.Continue("move %s is %s, want %s", name, now, state)
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(100*time.Millisecond))
}

// waitingFor waits until some entry's status says that the move waits for the
// named entry.
func (d *deployment) waitingFor(move, entry string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, e := range d.entries {
			if e.name == entry {
				continue
			}
			out, _, _ := d.cli("status", "--operator", "http://"+e.operator)
			for line := range strings.Lines(out) {
				if strings.Contains(line, "move/"+move) && strings.Contains(line, entry) {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no status says that move %s waits for %s", move, entry)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
}

// TestFrozenEntryHoldsMoveUp freezes an entry that may place on a host which is
// moved. The move waits, status says for what, and it goes on after the thaw.
func TestFrozenEntryHoldsMoveUp(t *testing.T) {
	d := deploy(t)
	d.startEntry("a2", "a")
	d.waitRegistered("a2")
	d.entries["a2"].signal(syscall.SIGSTOP)
	_, errs, status := d.cli("host", "move", "h2", "lids", "--name", "m1")
	assert.Equal(t, status, exitOK, errs)
	d.waitMove("m1", "draining")
	d.waitingFor("m1", "a2")
	assert.Equal(t, d.moveState("m1"), "draining")
	d.entries["a2"].signal(syscall.SIGCONT)
	d.waitMove("m1", "done")
	d.checkOnePool()
}

// TestKilledEntryIsCountedOutByItsSuccessor kills an entry that may place on a
// host which is moved. The move waits until a new process has taken over the
// entry's address.
func TestKilledEntryIsCountedOutByItsSuccessor(t *testing.T) {
	d := deploy(t)
	killed := d.startEntry("a2", "a")
	d.waitRegistered("a2")
	killed.signal(syscall.SIGKILL)
	_, errs, status := d.cli("host", "move", "h2", "lids", "--name", "m1")
	assert.Equal(t, status, exitOK, errs)
	d.waitMove("m1", "draining")
	d.waitingFor("m1", "a2")
	d.startEntry("a2", "a", "--peer-address", killed.peer)
	d.waitMove("m1", "done")
	d.checkOnePool()
}

// waitRegistered waits until the entry is registered and may place.
func (d *deployment) waitRegistered(name string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		out, errs, _ := d.cli("status", "--operator", "http://"+d.entries[name].operator)
		if !strings.Contains(out, ": ready; ") {
			return poll.Continue("%s%s", out, errs)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}
