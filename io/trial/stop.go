package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/core/trace"
)

// stopRate is the number of requests a second while entries stop.
const stopRate = 200

// stopAll stops one entry after another while requests arrive, the last one
// with requests still in flight. The balancer stops sending to an entry when
// its readiness fails.
func (l *load) stopAll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New(ctx)
	done := make(chan struct{})
	g.Go("load", func(ctx context.Context) error { return l.keepSending(ctx, done) })
	var failed error
	last := len(l.site.entries) - 1
	for _, s := range l.site.entries[:last] {
		failed = errors.Join(failed, l.stop(s))
	}
	close(done)
	return errors.Join(failed, l.stop(l.site.entries[last]), g.Wait())
}

// keepSending sends requests until done is closed.
func (l *load) keepSending(ctx context.Context, done <-chan struct{}) error {
	random := rand.New(rand.NewPCG(l.site.settings.Seed, 3))
	g := group.New(ctx)
	for n := 0; ; n++ {
		select {
		case <-done:
			return g.Wait()
		default:
		}
		a := newArrival(random, l.site.shape.pools[n%len(l.site.shape.pools)], 0, n)
		a.id, a.keyed = "stop-"+a.id, false
		g.Go("request", func(ctx context.Context) error {
			l.call(ctx, l.pick(nil), a, a.id, "")
			return nil
		})
		sleepUntil(ctx, time.Now().Add(time.Second/stopRate))
	}
}

// stop stops an entry with requests in flight and waits for its end.
func (l *load) stop(s *runningEntry) error {
	name := s.entry.Member().Name()
	l.trace.Add(trace.Event{At: time.Now(), Kind: trace.EntryLeaving, Entry: name})
	l.leave(s)
	s.stop()
	select {
	case err := <-s.ended:
		l.trace.Add(trace.Event{At: time.Now(), Kind: trace.EntryStopped, Entry: name})
		return err
	case <-time.After(2 * stopTimeout):
		return fmt.Errorf("entry %s did not stop", name)
	}
}
