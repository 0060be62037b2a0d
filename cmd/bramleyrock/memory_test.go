package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/io/fakes/relay"
	"bramleyrock/platform/stand"

	"gotest.tools/v3/assert"
)

// smallestMemoryMB is the memory of the smallest entries of the deployments.
const smallestMemoryMB = 184

// peakMemory returns the largest memory that the entry's process has had, in megabytes.
func (e *soakEntry) peakMemory() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	assert.NilError(e.soak.t, err)
	_, line, ok := bytes.Cut(status, []byte("VmHWM:"))
	assert.Assert(e.soak.t, ok)
	kb, err := strconv.Atoi(string(bytes.Fields(line)[0]))
	assert.NilError(e.soak.t, err)
	return float64(kb) / 1000
}

// countLogged returns how often a message is in the entry's log.
func (e *soakEntry) countLogged(message string) int {
	data, err := os.ReadFile(e.log.Name())
	assert.NilError(e.soak.t, err)
	return bytes.Count(data, []byte(message))
}

// awaitCells waits until the entry has taken cells more often than before.
func (e *soakEntry) awaitCells(before, cells int) {
	e.soak.t.Helper()
	for end := time.Now().Add(20 * time.Second); e.countLogged(`"Cell taken."`) < before+cells; time.Sleep(50 * time.Millisecond) {
		assert.Assert(e.soak.t, time.Now().Before(end), "%s has not taken %d cells", e.name, cells)
	}
}

// TestEntriesHoldWhatTheyAccept guards against an owner that is killed for its memory again and
// again: the entries accept as many large jobs as callers hand in, and the next owner has to load
// them all.
func TestEntriesHoldWhatTheyAccept(t *testing.T) {
	binary, err := buildPlain()
	assert.NilError(t, err)
	s := &soak{
		t: t, group: group.New(context.Background()), binary: binary, links: map[string]*relay.Relay{},
		extraSettings: fmt.Sprintf("Limits.MemoryMb=%d\n", smallestMemoryMB),
	}
	s.p, err = stand.Start(stand.Layout{
		Pools: map[string]int{"tins": 2, "lids": 2}, Seed: 1,
		Duration: func(string, string) (time.Duration, string) { return 0, "done" }, // for ever
	})
	assert.NilError(t, err)
	s.p.Configure(1, stand.Queue{Name: "tins", Prefix: "/tins/", Pool: "tins"}, stand.Queue{Name: "lids", Prefix: "/lids/", Pool: "lids"})
	dir := t.TempDir()
	s.add(dir, "e0")
	s.add(dir, "e1")
	t.Cleanup(s.close)
	for _, e := range s.entries {
		assert.Assert(t, e.awaitFront())
	}
	var accepted []string
	step := stand.Step{Count: 4096, MilliCores: 1000, MemMb: 10, EstimateMs: 1000}
	for _, pool := range []string{"tins", "lids"} {
		rejected, stored := 0, 0
		for n := 0; rejected < 5 && n < 60; n++ {
			id := fmt.Sprintf("%016x", n)
			path := "/" + pool + "/" + id
			s.p.Checker().ExpectIn(id, false, pool)
			switch status := s.entries[n%2].client.Submit(t.Context(), path, "lasts", step, step, step); status {
			case http.StatusOK:
				accepted = append(accepted, path)
				rejected = 0
				stored++
			case http.StatusTooManyRequests:
				rejected++
			default:
				t.Logf("POST %s: %d", path, status)
			}
			time.Sleep(700 * time.Millisecond) // the owner renews
		}
		t.Logf("%s: %d jobs of 12,288 tasks accepted", pool, stored)
		assert.Equal(t, rejected, 5, "the pool takes all")
		assert.Assert(t, stored >= 5, "%d jobs accepted", stored)
	}
	check := func() {
		for _, e := range s.entries {
			peak := e.peakMemory()
			t.Logf("%s: peak %.1f MB", e.name, peak)
			assert.Check(t, peak < smallestMemoryMB, "%s had %.1f MB", e.name, peak)
		}
	}
	check()
	for i, e := range s.entries { // each in turn loads both cells, in a new process
		other := s.entries[1-i]
		<-e.signal(syscall.SIGKILL)
		e.start()
		assert.Assert(t, e.awaitFront())
		before := e.countLogged(`"Cell taken."`)
		<-other.signal(syscall.SIGKILL)
		e.awaitCells(before, 2)
		time.Sleep(3 * time.Second) // it decides, and renews
		assert.Check(t, e.peakMemory() < smallestMemoryMB, "%s had %.1f MB", e.name, e.peakMemory())
		t.Logf("%s: peak %.1f MB with both cells", e.name, e.peakMemory())
		other.start()
		assert.Assert(t, other.awaitFront())
	}
	for _, path := range accepted {
		state := s.state(path)
		assert.Check(t, state == "queued" || state == "running", "job %s is %q", path, state)
	}
}
