package trial

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/client"
)

// requestTimeout is how long a caller waits.
const requestTimeout = 2 * time.Second

// load sends the arrivals to the entries and notes what became of them.
type load struct {
	site  *site
	trace *trace.Log

	mu       sync.Mutex
	random   *rand.Rand
	stations []*station
	samples  []sample
}

// newLoad returns a load on the site's entries.
func newLoad(t *site, log *trace.Log) *load {
	return &load{
		site:     t,
		trace:    log,
		random:   rand.New(rand.NewPCG(t.settings.Seed, 2)),
		stations: slices.Clone(t.entries),
	}
}

// plan returns the arrivals of all pools in order of time. The first pool
// surges.
func (l *load) plan() []arrival {
	s := l.site.shape
	busy := l.site.settings.LoadShare * float64(s.hosts()*s.slots)
	var all []arrival
	for i, pool := range s.pools {
		surge := steady
		if i == 0 {
			surge = surgeOf(l.site.settings.Length)
		}
		random := rand.New(rand.NewPCG(l.site.settings.Seed, uint64(10+i)))
		all = append(all, arrivals(random, pool, busy, l.site.settings.Length, surge)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// run sends the arrivals at their times and waits for all answers.
func (l *load) run(ctx context.Context, start time.Time, all []arrival) error {
	g := group.New(ctx)
	for _, a := range all {
		if !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		g.Go("request", func(ctx context.Context) error {
			l.send(ctx, a)
			return nil
		})
	}
	return g.Wait()
}

// send sends one request, or two sends of it with one idempotency key.
func (l *load) send(ctx context.Context, a arrival) {
	first := l.pick(nil)
	if !a.keyed {
		l.call(ctx, first, a, a.id, "")
		return
	}
	issued, err := first.caller.byPool[a.pool].IssueKeys(ctx, 1)
	if err != nil {
		l.call(ctx, first, a, a.id, "")
		return
	}
	g := group.New(ctx)
	for i, s := range []*station{first, l.pick(first)} {
		g.Go("send", func(ctx context.Context) error {
			l.call(ctx, s, a, a.send(i+1), issued.Keys[0])
			return nil
		})
	}
	_ = g.Wait()
}

// pick returns an entry that is not stopping, other than one unless it is the
// last.
func (l *load) pick(other *station) *station {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stations[l.random.IntN(len(l.stations))]
	for s == other && len(l.stations) > 1 {
		s = l.stations[l.random.IntN(len(l.stations))]
	}
	return s
}

// leave takes an entry out of those that get requests, as a balancer does. The
// last one stays.
func (l *load) leave(s *station) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.stations) > 1 {
		l.stations = slices.DeleteFunc(l.stations, func(o *station) bool { return o == s })
	}
}

// answerDigest returns the digest of the right answer to the arrival.
func answerDigest(id string) string {
	body, err := json.Marshal(struct {
		Echo string `json:"echo"`
	}{id})
	if err != nil {
		panic(err)
	}
	return trace.Digest(body)
}

// call sends a request to an entry and notes the outcome.
func (l *load) call(ctx context.Context, s *station, a arrival, id, key string) {
	body, err := json.Marshal(payload{a.work.Milliseconds(), a.id, id})
	if err != nil {
		panic(err)
	}
	begin := time.Now()
	l.trace.Add(trace.Event{
		At: begin, Kind: trace.Arrived, Entry: s.entry.Member().Name(), RequestID: id, Pool: a.pool,
		Class: a.class, Idempotent: a.idempotent, IdempotencyKey: key,
	})
	answer, err := s.caller.byPool[a.pool].Call(ctx, a.pool, client.Request{
		Payload:        body,
		TimeoutMS:      requestTimeout.Milliseconds(),
		Class:          a.class,
		Idempotent:     a.idempotent,
		IdempotencyKey: key,
	})
	end := time.Now()
	e := trace.Event{At: end, Kind: trace.Answered, Entry: s.entry.Member().Name(), RequestID: id, Pool: a.pool, Verdict: rock.VerdictOf(err)}
	if err != nil {
		e.Kind, e.Reason = trace.Refused, rock.ReasonOf(err)
	} else {
		e.Digest = trace.Digest(answer.Payload)
	}
	l.trace.Add(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{a.pool, rock.VerdictOf(err), rock.ReasonOf(err), max(0, end.Sub(begin)-a.work)})
}

// sleepUntil waits until a time and reports false if ctx ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
