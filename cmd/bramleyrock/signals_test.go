package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"bramleyrock/platform/stand"

	"gotest.tools/v3/assert"
)

// TestReloadDoesNotEndAnEntry guards against a process that is ended by a SIGHUP while it starts,
// or while it still answers calls after a SIGTERM.
func TestReloadDoesNotEndAnEntry(t *testing.T) {
	s := newSoak(t, 1)
	e := s.entries[0]
	submit := func(id string) func() bool {
		s.p.Checker().Expect(id, "tins", false)
		return func() bool {
			return e.client.Submit(t.Context(), "/tins/"+id, "p", stand.Step{Count: 1, MilliCores: 1000, MemMb: 10}) == http.StatusOK
		}
	}
	eventually := func(ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end))
		}
	}
	eventually(submit("00000000000000a1"))
	ended := e.signal(syscall.SIGTERM)
	for i := range 4 {
		time.Sleep(300 * time.Millisecond)
		e.signal(syscall.SIGHUP)
		assert.Assert(t, submit([]string{"b1", "b2", "b3", "b4"}[i]+"00000000000000")(), "a call after the SIGHUP")
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the entry does not stop")
	}
	assert.Assert(t, e.stoppedByItself(), "the entry was ended by a signal")
}
