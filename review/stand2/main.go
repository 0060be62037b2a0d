//go:build review2

// The stand2 command plays one case of the review. It starts a stand-in of the platform,
// its executors and clients, and processes of the project, and checks the platform's rules
// by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(c *play){}

// play is one run of a case.
type play struct {
	*world
	*deployment
	caller  *caller
	trouble bool
	prepare func(count int, advice bool, names ...string)
}

func main() {
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit status.
func run(name, binary, recordPath string) (status int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	if binary, err = filepath.Abs(binary); err != nil {
		return exitNotRun
	}
	if _, err := os.Stat(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := newWorld(record)
	p := &play{world: w, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		if p.deployment != nil {
			p.stopAll()
		}
		os.Exit(exitNotRun)
	}()
	p.prepare = func(count int, advice bool, names ...string) {
		p.deployment = newDeployment(w, dir, binary, count, advice, names...)
		p.caller = newCaller(w, p.deployment)
	}
	defer func() {
		if p.deployment != nil {
			p.stopAll()
			if keep := os.Getenv("KEEP_LOGS"); keep != "" {
				_ = os.CopyFS(keep, os.DirFS(dir))
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if x := recover(); x != nil {
			w.note("the case could not run: %v", x)
			fmt.Println("the case could not run:", x)
			status = exitNotRun
			return
		}
		for _, b := range w.broken {
			fmt.Println("broken:", b)
		}
		status = exitHeld
		if len(w.broken) > 0 {
			status = exitBroken
		}
		w.note("exit status %d", status)
	}()
	cases[name](p)
	return exitHeld
}

// startAll starts all entries and waits until each of them answers.
func (p *play) startAll() {
	for _, e := range p.entries {
		p.start(e)
	}
	for _, e := range p.entries {
		for i := 0; ; i++ {
			if status, _ := p.caller.call(e, "GET", "/none/", nil); status == 404 {
				break
			}
			select {
			case <-e.exited:
				panic("entry " + e.name + " ended at its start") // a port may have been taken meanwhile
			default:
			}
			if i > 100 {
				panic("entry " + e.name + " does not answer")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	p.ready.Store(true)
}
