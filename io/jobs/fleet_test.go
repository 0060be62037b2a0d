package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/job"
	"bramleyrock/core/lease"
	"bramleyrock/core/place"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/jobs"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fleet is a platform, the configuration, and the targets of pool tins: some in
// zone a and one in zone b. Entries are added by start.
type fleet struct {
	t       testing.TB
	depot   *depot.Depot
	targets *work.Fleet
	config  *config.Source
	hosts   []rock.Host
	adjust  func(*jobs.Settings)
}

// newFleet returns a fleet with a number of hosts in zone a, and one in zone b,
// of the given number of slots. The function adjust, if not nil, changes the
// settings of each entry.
func newFleet(t testing.TB, hosts, slots int, adjust func(*jobs.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, depot: depot.New(depot.Settings{Seed: 1, WritesPerSecond: -1, ReadsPerSecond: -1}), targets: work.NewFleet(), adjust: adjust}
	for n := range hosts {
		h := rock.HostSpec{Name: fmt.Sprintf("h%d", n+1), Zone: "a", Pool: "tins", Slots: slots, Open: true}
		f.hosts = append(f.hosts, rock.NewHost(h))
		f.targets.Add(work.New(work.Settings{Name: h.Name, Slots: slots, ServiceTime: 10 * time.Millisecond}))
	}
	far := rock.HostSpec{Name: "far", Zone: "b", Pool: "tins", Slots: slots, Open: true}
	f.hosts = append(f.hosts, rock.NewHost(far))
	f.targets.Add(work.New(work.Settings{Name: far.Name, Slots: slots, ServiceTime: 10 * time.Millisecond}))
	f.config = config.NewSource(f.configuration(1, f.hosts))
	return f
}

func (f *fleet) configuration(revision rock.Revision, hosts []rock.Host) *config.Fleet {
	c := config.New(revision, []rock.Pool{rock.NewPool("tins", "alpha", false)}, hosts)
	c.Admit("alpha-token", rock.NewIdentity("line", "alpha", rock.CallerRole))
	c.Admit("beta-token", rock.NewIdentity("line", "beta", rock.CallerRole))
	c.Admit("op-token", rock.NewIdentity("op", "", rock.OperatorRole))
	return c
}

// entry is the job manager of one entry. All its calls to the platform and the
// targets pass through a gate.
type entry struct {
	fleet   *fleet
	gate    *gate
	jobs    *jobs.Jobs
	handler http.Handler
	group   *group.Group
	placer  *placer
}

// placer makes a place.Placer safe for concurrent use.
type placer struct {
	mu     sync.Mutex
	config rock.FleetSource
	inner  *place.Placer
}

func (p *placer) Choose(now time.Time, pool string, avoid []string) (rock.Host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, _ := p.config.Fleet()
	p.inner.Update(now, f)
	return p.inner.Choose(now, pool, avoid)
}

func (p *placer) Done(now time.Time, host string, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Done(now, host, took, err)
}

func (p *placer) slotsInUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, inUse := p.inner.Slots("tins")
	return inUse
}

// fastSettings shortens the intervals to about a tenth of the defaults.
func fastSettings(s *jobs.Settings) {
	s.Limits = job.Limits{TaskLease: 4 * time.Second, CheckpointInterval: 50 * time.Millisecond, PreemptAfter: 100 * time.Millisecond}
	s.Terms = lease.Terms{Lifetime: 1500 * time.Millisecond, Skew: 200 * time.Millisecond}
	s.Interval, s.StatusInterval = 20*time.Millisecond, 40*time.Millisecond
	s.ProgressInterval, s.ReclaimInterval = 100*time.Millisecond, 100*time.Millisecond
	s.ZoneGrace = 2 * time.Second
}

// start starts an entry of zone a.
func (f *fleet) start(name string) *entry {
	f.t.Helper()
	return f.startIn(name, "a")
}

func (f *fleet) startIn(name, zone string) *entry {
	f.t.Helper()
	e := &entry{fleet: f, gate: &gate{Table: f.depot, Target: f.targets}}
	e.placer = &placer{config: f.config, inner: place.New(place.Settings{Zone: zone, Random: rand.New(rand.NewPCG(1, 1))})}
	s := jobs.Settings{
		Member: rock.NewMember(name, zone, "127.0.0.1:1", "i1"),
		Table:  e.gate, Target: e.gate, Fleet: f.config, Placer: e.placer,
	}
	fastSettings(&s)
	if f.adjust != nil {
		f.adjust(&s)
	}
	e.jobs = jobs.New(s)
	e.handler = e.jobs.Handler()
	e.group = group.New(context.Background())
	e.group.Go("jobs", e.jobs.Run)
	f.t.Cleanup(e.kill)
	return e
}

// stop performs a planned stop: it waits until the session is released.
func (e *entry) stop() {
	e.group.Stop()
	_ = e.group.Wait()
}

// kill stops the entry as a crash does: it can make no further calls.
func (e *entry) kill() {
	e.gate.kill()
	e.stop()
}

// call makes a call as a caller does, decodes the answer into v unless v is nil,
// and returns the status code.
func (e *entry) call(method, path, token, body string, v any) int {
	e.fleet.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	data, err := io.ReadAll(w.Result().Body)
	assert.NilError(e.fleet.t, err)
	if v != nil {
		assert.NilError(e.fleet.t, json.Unmarshal(data, v), "%s", data)
	}
	return w.Code
}

// submit submits a job to pool tins and returns its id.
func (e *entry) submit(body string) string {
	e.fleet.t.Helper()
	var answer struct {
		JobID string `json:"job_id"`
	}
	code := e.call("POST", "/v1/pools/tins/jobs", "alpha-token", body, &answer)
	assert.Equal(e.fleet.t, code, http.StatusAccepted)
	return answer.JobID
}

// jobView holds the fields of the answer to a query for a job that tests check.
type jobView struct {
	State    job.State       `json:"state"`
	Verdict  rock.Verdict    `json:"verdict"`
	Reason   rock.Reason     `json:"reason"`
	Progress float64         `json:"progress"`
	Result   json.RawMessage `json:"result"`
}

func (e *entry) get(id string) jobView {
	e.fleet.t.Helper()
	var v jobView
	code := e.call("GET", "/v1/jobs/"+id, "alpha-token", "", &v)
	assert.Equal(e.fleet.t, code, http.StatusOK)
	return v
}

// await waits until the job is in one of the states.
func (e *entry) await(id string, want ...job.State) jobView {
	e.fleet.t.Helper()
	var v jobView
	poll.WaitOn(e.fleet.t, func(poll.LogT) poll.Result {
		v = e.get(id)
		for _, s := range want {
			if v.State == s {
				return poll.Success()
			}
		}
		return poll.Continue("job is %s, want %s", v.State, want)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	return v
}

// row returns the job in the platform's table.
func (f *fleet) row(id string) job.Job {
	f.t.Helper()
	rows, err := f.depot.Read(context.Background(), "job/"+id)
	assert.NilError(f.t, err)
	var j job.Job
	assert.NilError(f.t, json.Unmarshal(rows[0].Value(), &j))
	return j
}

// runs returns how many tasks of the job were started.
func (f *fleet) runs(id string) int {
	n := 0
	for _, runs := range f.targets.Runs() {
		for _, r := range runs {
			if strings.HasPrefix(r.TaskID, id+".") {
				n++
			}
		}
	}
	return n
}

// running returns the number of tasks running on all targets together.
func (f *fleet) running() int {
	n := 0
	for _, h := range f.hosts {
		n += f.targets.Worker(h.Name()).Leases()
	}
	return n
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}
