package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyrock/core/group"

	"gotest.tools/v3/assert"
)

// startTimeout bounds the start of a process.
const startTimeout = 30 * time.Second

// buildRace and buildPlain build the program under test once, with and without
// the race detector.
var (
	buildRace  = sync.OnceValues(func() (string, error) { return build("-race") })
	buildPlain = sync.OnceValues(func() (string, error) { return build("-race=false") })
)

// build builds the program under test.
func build(flag string) (string, error) {
	dir, err := os.MkdirTemp("", "bramleyrock-test")
	if err != nil {
		return "", err
	}
	binaryDirs = append(binaryDirs, dir)
	binary := filepath.Join(dir, "bramleyrock")
	out, err := exec.Command("go", "build", flag, "-o", binary, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
}

// binaryDirs are the directories to remove after the tests.
var binaryDirs []string

func TestMain(m *testing.M) {
	status := m.Run()
	for _, dir := range binaryDirs {
		_ = os.RemoveAll(dir)
	}
	os.Exit(status)
}

// process is a child process of a test.
type process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	doors   chan [2]string
	exited  chan error

	mu  sync.Mutex
	log strings.Builder
}

var doorLine = regexp.MustCompile(`The (\w+) door is open\. address=(\S+)`)

// start starts the program with these arguments and, if the test ends first,
// kills it.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	binary, err := buildRace()
	assert.NilError(t, err)
	return startBinary(t, binary, name, args...)
}

// startBinary is start for a program that was built before.
func startBinary(t testing.TB, binary, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(binary, args...), doors: make(chan [2]string, 8), exited: make(chan error, 1)}
	p.command.Env = append(os.Environ(), "GORACE=halt_on_error=1 exitcode=66")
	stderr, err := p.command.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	read := make(chan struct{})
	g := group.New(context.Background())
	g.Go("read", func(context.Context) error {
		defer close(read)
		p.read(stderr)
		return nil
	})
	g.Go("wait", func(context.Context) error {
		<-read
		p.exited <- p.command.Wait()
		return nil
	})
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.text())
		}
	})
	return p
}

// read keeps the log and hands on the addresses of doors.
func (p *process) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if m := doorLine.FindStringSubmatch(lines.Text()); m != nil {
			p.doors <- [2]string{m[1], m[2]}
		}
	}
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// addresses waits until the process has opened so many doors and returns
// their addresses by name.
func (p *process) addresses(count int) map[string]string {
	p.t.Helper()
	all := map[string]string{}
	deadline := time.After(startTimeout)
	for len(all) < count {
		select {
		case d := <-p.doors:
			all[d[0]] = d[1]
		case err := <-p.exited:
			p.t.Fatalf("%s ended: %v\n%s", p.name, err, p.text())
		case <-deadline:
			p.t.Fatalf("%s opened only %v\n%s", p.name, all, p.text())
		}
	}
	return all
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.command.Process.Signal(s))
}

// wait waits for the end of the process.
func (p *process) wait(timeout time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(timeout):
		p.t.Fatalf("%s did not end in %v\n%s", p.name, timeout, p.text())
		return nil
	}
}
