//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// entry is a process of the project.
type entry struct {
	name    string
	ip      string
	front   string
	config  string
	metrics string
	command *exec.Cmd
	exited  chan struct{}
	stopped bool // by the test
}

// deployment holds the processes of the project, and all servers of the stand-ins.
type deployment struct {
	w       *world
	dir     string
	binary  string
	entries []*entry
	links   []*link // to the service for machines, by entry
	mu      sync.Mutex
	// ready is true once all entries have answered.
	ready atomic.Bool
}

// listen serves HTTP on a free port of a loopback address.
func listen(ip string, h http.Handler) string {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}).Serve(l) }()
	return l.Addr().String()
}

// freePort returns a port of the address on which nothing listens.
func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// newDeployment prepares count entries, with the given names if there are any.
func newDeployment(w *world, dir, binary string, count int, advice bool, names ...string) *deployment {
	d := &deployment{w: w, dir: dir, binary: binary}
	cloud := listen("127.0.0.1", http.HandlerFunc(w.serveCloud))
	adviser := ""
	if advice {
		adviser = listen("127.0.0.1", http.HandlerFunc(w.serveAdvice))
	}
	for i := range count {
		name, ip := fmt.Sprintf("edge-z1-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i)
		if i < len(names) {
			name = names[i]
		}
		store := listen("127.0.0.1", w.store)
		k, cloudAddress := newLink(name, cloud)
		d.links = append(d.links, k)
		front := fmt.Sprintf("%s:%d", ip, freePort(ip))
		lines := []string{
			"Node=" + name, "Role=entry", "Class=edge", "Serves=edge", "Ip=" + ip, "Zone=z1", "Region=r1",
			"Listen.Front=" + front, fmt.Sprintf("Listen.Ready=%s:%d", ip, freePort(ip)), "PortRange=7060,7075",
			"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "HeartbeatMs=1500", "Orders=request",
			"platform.Addr=" + store, "platform.form=table", "platform.WritesPerS=800", "platform.ReadsPerS=2000", "platform.RowBytes=65536", "platform.Across=true",
			"Cloud.Addr=" + cloudAddress, "Cloud.RatePerS=64.0", "Cloud.DutyPerS=64.0", "Advice=" + adviser,
			"Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.DrainMs=2000", "Bounds.GraceS=6", "Bounds.ConfigApplyMs=2000", "Bounds.HoldMaxMs=6000",
			"Bounds.StopMs=400", "Bounds.GangMs=3000", "Bounds.cancel_ms=3000", "Bounds.visible_ms=3000", "Bounds.early_ms=250", "Bounds.finish_s=14",
			"Bounds.status_s=120", "Bounds.FarX=1.5", "Bounds.CheckpointS=0.5", "Bounds.RestoreMs=250", "Bounds.NoticeMs=4500", "Bounds.MoveS=1.5",
			"Bounds.UpkeepS=2", "Bounds.RequireFence=false", "Bounds.LeaseMs=3000", "",
		}
		config := filepath.Join(dir, name+".conf")
		if err := os.WriteFile(config, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			panic(err)
		}
		d.entries = append(d.entries, &entry{name: name, ip: ip, front: front, config: config, metrics: fmt.Sprint(freePort(ip))})
	}
	return d
}

// start starts the process of an entry, as the role of the deploy file says.
func (d *deployment) start(e *entry) {
	out, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	c := exec.Command(d.binary, "hosted")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMLEYROCK_CONFIG=" + e.config, "BRAMLEYROCK_METRICS_PORT=" + e.metrics}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	d.mu.Lock()
	e.command, e.exited, e.stopped = c, exited, false
	d.mu.Unlock()
	d.w.log("process %s starts", e.name)
	go func() {
		err := c.Wait()
		_ = out.Close()
		d.mu.Lock()
		own := !e.stopped
		d.mu.Unlock()
		close(exited)
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		d.w.note("process %s ends: %v", e.name, err)
		if own && d.ready.Load() {
			d.w.breaks("Fault", "process %s ended by itself: %v", e.name, err)
		}
	}()
}

// signal sends a signal to the process of an entry. end tells that the process ends by it.
func (d *deployment) signal(e *entry, s syscall.Signal, end bool) {
	d.mu.Lock()
	e.stopped = e.stopped || end
	p := e.command.Process
	d.mu.Unlock()
	d.w.log("signal %v to %s", s, e.name)
	_ = p.Signal(s)
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	for _, e := range d.entries {
		if e.command == nil {
			continue
		}
		d.signal(e, syscall.SIGKILL, true)
		<-e.exited
	}
}
