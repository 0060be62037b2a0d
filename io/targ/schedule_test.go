package targ_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/probl"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

const (
	scheduleShards   = 8
	scheduleHosts    = 3
	scheduleRequests = 5
	scheduleTries    = 3
	// settleTime is how long late calls may go on arriving.
	settleTime = 5 * time.Minute
)

// schedule is one run of a few requests against a few workers, under faults
// that a seed decides. Its time is that of a synctest bubble.
type schedule struct {
	random  *rand.Rand
	wire    *wire
	workers []*work.Worker
	hosts   []rock.Host
	log     trace.Log
	// attempts is a trace in which each attempt is a request of its own.
	attempts trace.Log
}

// newSchedule returns a schedule in which all choices follow from the seed.
func newSchedule(seed uint64) *schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &schedule{random: random, wire: &wire{
		handlers: map[string]http.Handler{},
		duties:   group.New(context.Background()),
		share:    0.1 + 0.5*random.Float64(),
		maxLate:  time.Duration(1+random.IntN(60)) * time.Second,
		random:   rand.New(rand.NewPCG(seed, 2)),
	}}
	for i := range scheduleHosts {
		name := fmt.Sprintf("h%d", i)
		w := work.New(work.Settings{Name: name, Slots: 1 + s.random.IntN(2), Seed: seed})
		w.SetFaults(s.drawFaults())
		s.workers = append(s.workers, w)
		s.wire.handlers[name] = w.Handler()
		s.hosts = append(s.hosts, rock.NewHost(rock.HostSpec{Name: name, Address: name, Pool: "tins", Generation: 1}))
	}
	return s
}

// drawFaults returns the switches of a worker; most have none.
func (s *schedule) drawFaults() work.Faults {
	f := work.Faults{Share: 0.5}
	switch s.random.IntN(12) {
	case 0:
		f.Refuse = true
	case 1:
		f.FailFast = true
	case 2:
		f.Silent = true
	case 3:
		f.LostTrack = true
	case 4:
		f.CutShort = true
	case 5:
		f.Swap = true
	case 6:
		f.LateMS = 5000
	}
	return f
}

// order is a request as a caller sends it.
type order struct {
	id         string
	idempotent bool
	after      time.Duration
	limit      time.Duration
	workMS     int
	lease      time.Duration
	hosts      []int
}

// drawOrder returns the request number i.
func (s *schedule) drawOrder(i int) order {
	return order{
		id:         fmt.Sprintf("r%d", i),
		idempotent: s.random.IntN(2) == 0,
		after:      time.Duration(s.random.IntN(3000)) * time.Millisecond,
		limit:      time.Duration(1+s.random.IntN(30)) * time.Second,
		workMS:     s.random.IntN(3000),
		lease:      time.Duration(2+s.random.IntN(20)) * time.Second,
		hosts:      s.random.Perm(scheduleHosts),
	}
}

// run sends all requests and waits until nothing can arrive any more.
func (s *schedule) run(t *testing.T, run runner) []trace.Violation {
	t.Helper()
	callers := group.New(context.Background())
	for i := range scheduleRequests {
		o := s.drawOrder(i)
		callers.Go("caller", func(ctx context.Context) error {
			time.Sleep(o.after)
			s.call(ctx, run, o)
			return nil
		})
	}
	if s.random.IntN(4) == 0 {
		time.Sleep(time.Duration(s.random.IntN(5000)) * time.Millisecond)
		s.workers[s.random.IntN(scheduleHosts)].Reboot(time.Now())
	}
	assert.NilError(t, callers.Wait())
	time.Sleep(settleTime)
	s.wire.duties.Stop()
	assert.NilError(t, s.wire.duties.Wait())
	for _, w := range s.workers {
		s.log.Add(work.Events(w.Runs())...)
		s.attempts.Add(work.Events(w.Runs())...)
	}
	notRun, err := trace.Select("not_run_true")
	assert.NilError(t, err)
	found := trace.Check(s.attempts.Events(), notRun)
	return append(trace.Check(s.log.Events(), trace.Outcomes()), found...)
}

// call sends one request as an entry would: to one host after another, as long
// as the verdicts allow it.
func (s *schedule) call(ctx context.Context, run runner, o order) {
	deadline := time.Now().Add(o.limit)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e := trace.Event{At: time.Now(), Kind: trace.Arrived, Entry: "e1", RequestID: o.id, Pool: "tins", Idempotent: o.idempotent}
	s.log.Add(e)
	payload := json.RawMessage(fmt.Sprintf(`{"echo":%q,"work_ms":%d}`, o.id, o.workMS))
	verdict := rock.NotRun
	var reason rock.Reason
	for try := range scheduleTries {
		host := s.hosts[o.hosts[try%scheduleHosts]]
		task := rock.NewTask(fmt.Sprintf("%s.%d", o.id, try), "tins", 1, o.lease, deadline, payload)
		s.log.Add(trace.Event{At: time.Now(), Kind: trace.Sent, Entry: "e1", RequestID: o.id, TaskID: task.ID(), Host: host.Name()})
		a, err := run(ctx, host, task)
		if err == nil {
			s.log.Add(trace.Event{At: time.Now(), Kind: trace.Answered, RequestID: o.id, Verdict: rock.Ran, Digest: trace.Digest(a.Payload())})
			return
		}
		reason = rock.ReasonOf(err)
		s.attempts.Add(trace.Event{At: time.Now(), Kind: trace.Refused, RequestID: task.ID(), Verdict: rock.VerdictOf(err), Reason: reason})
		if rock.VerdictOf(err) != rock.NotRun {
			verdict = rock.MayHaveRun
		}
		if !rock.VerdictOf(err).Retryable(o.idempotent) || ctx.Err() != nil {
			break
		}
	}
	s.log.Add(trace.Event{At: time.Now(), Kind: trace.Refused, RequestID: o.id, Verdict: verdict, Reason: reason})
}

// tally counts how requests ended.
type tally map[string]int

func (y tally) add(events []trace.Event) {
	for _, e := range events {
		switch e.Kind {
		case trace.Answered:
			y["answered"]++
		case trace.Refused:
			y["refused as "+string(e.Verdict)]++
		case trace.Started:
			y["started"]++
		}
	}
}

// addAttempts counts the attempts that were refused as not_run.
func (y tally) addAttempts(events []trace.Event) {
	for _, e := range events {
		if e.Kind == trace.Refused && e.Verdict == rock.NotRun {
			y["attempts refused as not_run"]++
		}
	}
}

// runSchedules runs the schedules with seeds from first on and returns how
// their requests ended, and how many of them broke an outcome.
func runSchedules(t *testing.T, first, count uint64, client func(w *wire) (runner, func()), report bool) (tally, int) {
	t.Helper()
	ends, broken := tally{}, 0
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(seed)
			run, closeClient := client(s.wire)
			defer closeClient()
			found := s.run(t, run)
			ends.add(s.log.Events())
			ends.addAttempts(s.attempts.Events())
			if len(found) == 0 {
				return
			}
			broken++
			if report {
				t.Errorf("seed %d: %v (trace %s)", seed, found[0], keepTrace(t, s, seed))
			}
		})
	}
	return ends, broken
}

// keepTrace writes the trace of a schedule that broke an outcome and returns
// its path.
func keepTrace(t *testing.T, s *schedule, seed uint64) string {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, s.log.WriteTrace(&b, trace.Header{Name: t.Name(), Seed: seed}))
	path := filepath.Join(os.TempDir(), fmt.Sprintf("bramleyrock_schedule_%d.jsonl", seed))
	assert.NilError(t, os.WriteFile(path, b.Bytes(), 0o600))
	return path
}

// checked returns the real client over the wire.
func checked(w *wire) (runner, func()) {
	c := targ.New(targ.Settings{Kept: w, Fresh: w, MaxLeft: 64})
	return c.Run, c.Close
}

// TestSchedulesKeepTheirVerdicts runs requests under seeded faults of the wire
// and of the workers: whatever was refused as not_run is never started, also
// not by a call that arrives minutes later, and no outcome is broken.
func TestSchedulesKeepTheirVerdicts(t *testing.T) {
	const each = schedules / scheduleShards
	var all [scheduleShards]tally
	t.Run("all", func(t *testing.T) {
		for shard := range uint64(scheduleShards) {
			t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
				if parallelShards {
					t.Parallel()
				}
				all[shard], _ = runSchedules(t, shard*each, each, checked, true)
			})
		}
	})
	ends := tally{}
	for _, y := range all {
		for end, n := range y {
			ends[end] += n
		}
	}
	t.Logf("%d schedules: %v", schedules, ends)
	for _, end := range []string{"answered", "refused as not_run", "refused as may_have_run", "attempts refused as not_run"} {
		assert.Assert(t, ends[end] > 0, "no request was %s", end)
	}
}

// believing returns a client that believes every refusal and takes a broken
// connection for a call that did not arrive.
func believing(w *wire) (runner, func()) {
	c := &http.Client{Transport: w}
	run := func(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error) {
		body, err := json.Marshal(targ.FromTask(task))
		if err != nil {
			return rock.Answer{}, err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address()+"/run", bytes.NewReader(body))
		if err != nil {
			return rock.Answer{}, err
		}
		resp, err := c.Do(req)
		if err != nil {
			return rock.Answer{}, rock.Fail("run", host.Name(), rock.Unavailable, rock.NotRun).Because(err)
		}
		defer resp.Body.Close()
		if err := probl.Read(resp); err != nil {
			return rock.Answer{}, err
		}
		answer, err := io.ReadAll(resp.Body)
		return rock.NewAnswer(task.ID(), host.Name(), answer), err
	}
	return run, c.CloseIdleConnections
}

// TestBelievingClientBreaksSchedules shows that the schedules break a client
// without the mechanisms.
func TestBelievingClientBreaksSchedules(t *testing.T) {
	const count = 200
	ends, broken := runSchedules(t, 0, count, believing, false)
	t.Logf("%d of %d schedules broke an outcome: %v", broken, count, ends)
	assert.Assert(t, broken > count/10)
}

// TestSchedulesThroughEntries runs requests through two entries with the real
// engine, with faults between the entries, on the way to the targets and at the
// targets; what was not answered is sent again with the same key through the
// other entry. No outcome is broken.
func TestSchedulesThroughEntries(t *testing.T) {
	for shard := range uint64(scheduleShards) {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			if parallelShards {
				t.Parallel()
			}
			const each = siteSchedules / scheduleShards
			ends := tally{}
			for seed := shard * each; seed < (shard+1)*each; seed++ {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(seed, false)
					found, err := s.run()
					assert.NilError(t, err)
					ends.add(s.log.Events())
					if len(found) > 0 {
						t.Errorf("seed %d: %v (trace %s)", seed, found[0], keepTrace(t, s.schedule, seed))
					}
				})
			}
			t.Logf("%d schedules: %v", each, ends)
			assert.Assert(t, ends["answered"] > 0, "no request was answered")
		})
	}
}

// TestBelievingEntriesBreakSchedules shows that the schedules break entries
// whose client of targets lacks the mechanisms.
func TestBelievingEntriesBreakSchedules(t *testing.T) {
	const count = 100
	broken := 0
	for seed := range uint64(count) {
		synctest.Test(t, func(t *testing.T) {
			found, err := newSite(seed, true).run()
			assert.NilError(t, err)
			if len(found) > 0 {
				broken++
			}
		})
	}
	t.Logf("%d of %d schedules broke an outcome", broken, count)
	assert.Assert(t, broken > count/10)
}
