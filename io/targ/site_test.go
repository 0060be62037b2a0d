package targ_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"
	"bramleyrock/io/targ"

	"github.com/sirupsen/logrus"
)

// site is two entries in two availability zones, with the real engine and the
// real client of targets, over a faulty wire to the targets and faulty pipes to
// each other.
type site struct {
	*schedule
	engines []*route.Engine
	clients []*targ.Client
	group   *group.Group
	// share is the share of forwards that are hit by a fault.
	share float64

	mu     sync.Mutex
	faults *rand.Rand
}

// believingTarget is a client of targets that runs tasks like [believing].
type believingTarget struct {
	*targ.Client
	run runner
}

// Run implements [rock.Target].
func (b believingTarget) Run(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error) {
	return b.run(ctx, host, task)
}

// newSite returns a site whose choices follow from the seed, with the real
// client of targets or the believing one.
func newSite(seed uint64, believes bool) *site {
	s := &site{
		schedule: newSchedule(seed),
		group:    group.New(context.Background()),
		faults:   rand.New(rand.NewPCG(seed, 3)),
	}
	s.share = 0.5 * s.random.Float64()
	var hosts []rock.Host
	for i, h := range s.hosts {
		hosts = append(hosts, rock.NewHost(rock.HostSpec{
			Name: h.Name(), Address: h.Address(), Zone: zoneOf(i), Pool: "tins", Generation: 1, Slots: 1, Open: true,
		}))
	}
	fleet := config.NewSource(config.New(1, []rock.Pool{rock.NewPool("tins", "alpha", false)}, hosts))
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 2 {
		c := targ.New(targ.Settings{Kept: s.wire, Fresh: s.wire, MaxLeft: 64})
		s.clients = append(s.clients, c)
		var target rock.Target = c
		if believes {
			run, _ := believing(s.wire)
			target = believingTarget{c, run}
		}
		s.engines = append(s.engines, route.New(route.Settings{
			Member: s.member(i), Fleet: fleet, Target: target, Peers: &pipes{site: s, own: i},
			Secret: []byte("secret"), Random: rand.New(rand.NewPCG(seed, uint64(4+i))),
			Log: log, Group: s.group, Limits: route.Limits{DispatchInterval: 100 * time.Millisecond},
		}))
	}
	return s
}

// zoneOf returns the zone of the host, or of the entry, with that number.
func zoneOf(i int) string { return string(rune('a' + i%2)) }

// member returns the entry with that number.
func (s *site) member(i int) rock.Member {
	return rock.NewMember(fmt.Sprintf("e%d", i), zoneOf(i), "127.0.0.1:1", "i1")
}

// call sends one request, and sends it again through the other entry with the
// same key if it was not answered.
func (s *site) call(ctx context.Context, o order) {
	entry := o.hosts[0] % 2
	key := ""
	if !o.idempotent {
		keys, _, err := s.engines[entry].IssueKeys(time.Now(), "alpha", 1)
		if err != nil {
			return
		}
		key = keys[0]
	}
	for try := range scheduleTries {
		id := fmt.Sprintf("%s-%d", o.id, try)
		if s.send(ctx, (entry+try)%2, id, key, o) {
			return
		}
	}
}

// send sends a request through an entry and reports whether it was answered.
func (s *site) send(ctx context.Context, entry int, id, key string, o order) bool {
	now := time.Now()
	name := s.member(entry).Name()
	s.log.Add(trace.Event{
		At: now, Kind: trace.Arrived, Entry: name, RequestID: id, Organisation: "alpha", Pool: "tins",
		Idempotent: o.idempotent, IdempotencyKey: key,
	})
	r := rock.NewRequest(rock.RequestSpec{
		ID: id, Organisation: "alpha", Pool: "tins", Idempotent: o.idempotent, IdempotencyKey: key,
		Deadline: now.Add(o.limit), Payload: json.RawMessage(fmt.Sprintf(`{"echo":%q,"work_ms":%d}`, o.id, o.workMS)),
	})
	a, err := s.engines[entry].Do(ctx, r)
	if err != nil {
		s.log.Add(trace.Event{
			At: time.Now(), Kind: trace.Refused, Entry: name, RequestID: id,
			Verdict: rock.VerdictOf(err), Reason: rock.ReasonOf(err),
		})
		return false
	}
	s.log.Add(trace.Event{At: time.Now(), Kind: trace.Answered, Entry: name, RequestID: id, Verdict: rock.Ran, Digest: trace.Digest(a.Payload())})
	return true
}

// run sends all requests, waits until nothing can arrive any more and judges
// the trace.
func (s *site) run() ([]trace.Violation, error) {
	callers := group.New(context.Background())
	for i := range scheduleRequests {
		o := s.drawOrder(i)
		callers.Go("caller", func(ctx context.Context) error {
			time.Sleep(o.after)
			s.call(ctx, o)
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return nil, err
	}
	s.group.Stop()
	if err := s.group.Wait(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	for _, c := range s.clients {
		c.Close()
	}
	s.wire.duties.Stop()
	if err := s.wire.duties.Wait(); err != nil {
		return nil, err
	}
	for _, w := range s.workers {
		s.log.Add(requestEvents(w.Runs())...)
	}
	return trace.Check(s.log.Events(), trace.Outcomes()), nil
}

// requestEvents returns a ledger as events that name the request, which the
// task ids of an engine begin with.
func requestEvents(runs []work.Run) []trace.Event {
	events := work.Events(runs)
	for i := range events {
		events[i].RequestID, _, _ = strings.Cut(events[i].TaskID, ".")
	}
	return events
}
