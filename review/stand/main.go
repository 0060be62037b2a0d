//go:build review

// Stand runs a review case: a platform with executors, entries as separate processes
// and clients. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	w       *os.File
	began   time.Time
	watched map[string]bool // jobs of which each run is recorded
}

func (r *recorder) printf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-8s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.w.WriteString(line)
}

// detail records a line about a task of a watched job.
func (r *recorder) detail(task, format string, args ...any) {
	job, _, _ := splitTask(task)
	r.mu.Lock()
	ok := r.watched[job]
	r.mu.Unlock()
	if ok {
		r.printf("executor", format, args...)
	}
}

func (r *recorder) watch(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched[job] = true
}

// route is a queue of the configuration.
type route struct {
	Name, Host, Prefix, Service string
	Attempts, Priority          int
	Stretch                     float64
	SloMs, TimeoutMs            int
	Kind                        string
}

// site is the deployment that a case plays on.
type site struct {
	log     *recorder
	dir     string
	store   *store
	fleet   *fleet
	pools   []string
	servers []*http.Server
	// listeners are those of the proxies.
	listeners []net.Listener
	entries   []*entry
	version   int
	trouble   bool
	zones     []string
}

// entry is a process of the system.
type entry struct {
	name, front, ready, config string
	metrics                    int
	link                       *link // its path to the platform
	cmd                        *exec.Cmd
	out                        *os.File
}

const (
	queueHost = "pule25.example"
	standby   = "shared-tooling"
)

// routes returns the queues of a small deployment.
func routes() []route {
	r := func(name, prefix, service string, attempts, priority, slo int, stretch float64) route {
		return route{Name: name, Host: queueHost, Prefix: prefix, Service: service, Attempts: attempts, Priority: priority, Stretch: stretch, SloMs: slo, TimeoutMs: 3000, Kind: "mutating"}
	}
	return []route{
		r("khalda-seam-check", "/puxa400/", "khalda-lines", 4, 0, 600, 1.6),
		r("khalda-roll-watch", "/cufi501/", "khalda-lines", 3, 0, 2500, 2.2),
		r("sahab-format-verify", "/kafi706/", "sahab-lines", 2, 1, 600, 1.6),
		r("marka-seam-check", "/wuhu344/", "marka-lines", 4, 0, 600, 1.6),
		r("ruseifa-format-verify", "/defi252/", "ruseifa-lines", 2, 1, 600, 1.6),
	}
}

func listen(h http.Handler, s *site) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func freePort() int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// configure stores the next version of the configuration.
func (s *site) configure(list []route) {
	s.version += 3
	services := []map[string]any{}
	for _, p := range s.pools {
		services = append(services, map[string]any{"Name": p, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "RejectsOverload": true, "Standby": p == standby})
	}
	s.store.put("op", "config", map[string]any{
		"Version": s.version, "Routes": list, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	text, _ := json.Marshal(list)
	s.log.printf("operator", "configuration %d is acknowledged: %s", s.version, text)
}

// newSite starts the platform, the executors and the entries.
func newSite(log *recorder, dir string, trouble bool) (*site, error) {
	s := &site{log: log, dir: dir, trouble: trouble, version: 4, zones: []string{"amman-east-a", "amman-east-b", "amman-east-c"}}
	s.store = newStore(log)
	s.fleet = newFleet(s.store, log, standby)
	sizes := map[string]int{"khalda-lines": 9, "sahab-lines": 9, "marka-lines": 11, "ruseifa-lines": 12, standby: 8}
	s.pools = []string{"khalda-lines", "sahab-lines", "marka-lines", "ruseifa-lines", standby}
	storeAddr, cloudAddr := listen(s.store, s), listen(s.fleet, s)
	for _, p := range s.pools {
		for i := range sizes[p] {
			s.fleet.addMachine(p, s.zones[i%len(s.zones)], i)
		}
	}
	s.configure(routes())
	for i, z := range s.zones {
		e := &entry{name: fmt.Sprintf("edge-%s-1", z), config: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", i)), link: &link{}}
		toStore, toCloud := e.link.proxy(storeAddr, s), e.link.proxy(cloudAddr, s)
		s.entries = append(s.entries, e)
		var err error
		for range 3 { // another program may take a port that was free
			e.front, e.ready, e.metrics = fmt.Sprintf("127.0.0.1:%d", freePort()), fmt.Sprintf("127.0.0.1:%d", freePort()), freePort()
			if err = os.WriteFile(e.config, []byte(settings(e, z, toStore, toCloud)), 0o600); err != nil {
				return s, err
			}
			if err = s.startEntry(e); err != nil {
				return s, err
			}
			if err = e.awaitReady(); err == nil {
				break
			}
			s.kill(e)
		}
		if err != nil {
			return s, err
		}
	}
	time.Sleep(4 * time.Second) // the cells are taken
	return s, nil
}

func settings(e *entry, zone, storeAddr, cloudAddr string) string {
	return strings.Join([]string{
		"Node=" + e.name, "Role=entry", "Class=edge", "Serves=edge", "Ip=127.0.0.1", "Zone=" + zone, "Region=amman-east",
		"Zones.amman-east-a=amman-east", "Zones.amman-east-b=amman-east", "Zones.amman-east-c=amman-east",
		"Listen.Front=" + e.front, "Listen.Ready=" + e.ready, "Bootstrap=true", "InBudget=false",
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=vip", "HeartbeatMs=1500", "Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"Tolerate.Machines=2", "Tolerate.Zones=1", "Tolerate.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchupS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=6",
		"Bounds.LostSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.SkewMaxMs=5000", "Bounds.RecoverS=12", "Bounds.HoldMaxMs=10000",
		"Bounds.StopMs=400", "Bounds.GangMs=3000", "Bounds.cancel_ms=3000", "Bounds.visible_ms=3000", "Bounds.early_ms=250", "Bounds.finish_s=14", "Bounds.status_s=120",
		"Bounds.FarX=3", "Bounds.CheckpointS=2", "Bounds.RestoreMs=100", "Bounds.NoticeMs=4500", "Bounds.MoveS=1.5", "Bounds.UpkeepS=2", "Bounds.RequireFence=false",
		"Bounds.LeaseMs=3000", "Bounds.ThawMs=300", "Bounds.PaceMs=100", "Bounds.HarmMs=4000", "Orders=request",
		"platform.Addr=" + storeAddr, "platform.form=table", "platform.WritesPerS=800", "platform.ReadsPerS=2000", "platform.TxMs=3.0", "platform.PartWritesS=300",
		"platform.RowBytes=65536", "platform.Across=true", "platform.HistoryS=20", "platform.BlobBytes=8388608", "platform.BlobMs=25.0", "platform.BlobMbS=80.0",
		"Cloud.Addr=" + cloudAddr, "Cloud.RatePerS=64.0", "Cloud.Duties=", "Cloud.DutyPerS=64.0", "",
	}, "\n")
}

// startEntry starts the process with the command of the deploy file.
func (s *site) startEntry(e *entry) error {
	out, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/bramleyrock", "hosted")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYROCK_CONFIG=" + e.config, fmt.Sprintf("BRAMLEYROCK_METRICS_PORT=%d", e.metrics)}
	e.cmd.Stdout, e.cmd.Stderr, e.out = out, out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	s.log.printf("platform", "entry %s starts", e.name)
	return nil
}

func (e *entry) awaitReady() error {
	for range 50 {
		r, err := http.Get("http://" + e.ready + "/-/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("entry %s does not become ready", e.name)
}

// kill ends an entry at once.
func (s *site) kill(e *entry) {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	_ = e.out.Close()
	s.log.printf("platform", "entry %s is killed", e.name)
}

func (s *site) close() {
	for _, e := range s.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
	for _, x := range s.fleet.executors() {
		_ = x.server.Close()
	}
	for _, h := range s.servers {
		_ = h.Close()
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// call makes one call of a client and returns the status, or 0 without an answer.
func (s *site) call(e *entry, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = queueHost
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.log.printf("client", "%s %s at %s: no answer after %d ms", method, path, e.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	s.log.printf("client", "%s %s at %s: %d %s (%d ms)", method, path, e.name, resp.StatusCode, strings.TrimSpace(string(text)), time.Since(sent).Milliseconds())
	return resp.StatusCode, string(text)
}

// declare tells the executors what the tasks of a job do.
func (s *site) declare(id string, steps []step) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.jobs[id] = steps
}

// submit hands a job in, with retries, and reports whether it was accepted.
func (s *site) submit(prefix, id string, steps []step) bool {
	s.declare(id, steps)
	body, _ := json.Marshal(map[string]any{"Spec": "work of " + id, "Steps": steps})
	for try := range 4 {
		status, _ := s.call(s.entries[try%len(s.entries)], http.MethodPost, prefix+id, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func main() {
	number := flag.Int("case", 0, "number of the case")
	out := flag.String("record", "record.txt", "file to write")
	keep := flag.String("logs", "", "directory that keeps the logs of the entries")
	flag.Parse()
	os.Exit(play(*number, *out, *keep))
}

func play(number int, out, keep string) int {
	w, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = w.Close() }()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	log := &recorder{w: w, began: time.Now(), watched: map[string]bool{}}
	s, err := newSite(log, dir, os.Getenv("TROUBLE") != "0")
	if s != nil {
		defer s.close()
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ends
		log.printf("case", "ended by a signal")
		s.close()
		os.Exit(2)
	}()
	if err != nil {
		log.printf("case", "cannot run: %v", err)
		return 2
	}
	cases := map[int]func(*site) (bool, error){}
	for n, f := range allCases {
		cases[n] = f
	}
	f := cases[number]
	if f == nil {
		return 2
	}
	broken, err := f(s)
	switch {
	case err != nil:
		log.printf("case", "cannot run: %v", err)
		return 2
	case broken:
		log.printf("case", "RULE BROKEN")
		return 1
	}
	log.printf("case", "the rule held")
	return 0
}
