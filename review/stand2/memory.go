//go:build review2

package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// memoryLimit is the memory that a process may use (MemoryMb), in kilobytes.
const memoryLimit = 284 << 10

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// enforceMemory kills each process that exceeds its memory and starts it again, as the
// platform does, until stop is closed. It returns how often it killed each of them, by name.
func (p *play) enforceMemory(stop <-chan struct{}) <-chan map[string]int {
	result := make(chan map[string]int, 1)
	go func() {
		kills := map[string]int{}
		for {
			select {
			case <-stop:
				result <- kills
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, e := range p.entries {
				used := residentMemory(e.command.Process.Pid)
				if used <= memoryLimit {
					continue
				}
				kills[e.name]++
				p.log("process %s uses %d MB, more than %d MB", e.name, used>>10, memoryLimit>>10)
				p.signal(e, syscall.SIGKILL, true)
				<-e.exited
				time.AfterFunc(restartDelay, func() { p.start(e) })
				time.Sleep(restartDelay + 100*time.Millisecond)
			}
		}
	}()
	return result
}

// residentMemory returns the memory of a process in kilobytes, or 0 if it cannot be read.
func residentMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	used := 0
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &used)
		}
	}
	return used
}
