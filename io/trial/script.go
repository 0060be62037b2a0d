package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/record"
	"bramleyrock/core/trace"
	"bramleyrock/io/client"
)

const (
	// setupTimeout bounds the time until all entries are ready.
	setupTimeout = 30 * time.Second
	// finishTimeout bounds what may end after the load.
	finishTimeout = 30 * time.Second
	// watchInterval is the time between looks at a status or record.
	watchInterval = 20 * time.Millisecond
)

// script is what the operator does during a trial.
type script struct {
	site  *site
	trace *trace.Log

	force []time.Duration
	move  time.Duration
	wave  time.Duration
}

// setUp applies the records and waits until every entry has them in force.
func (s *script) setUp(ctx context.Context) error {
	records, err := s.site.records()
	if err != nil {
		return err
	}
	if err := s.ready(ctx, 0); err != nil {
		return err
	}
	change, err := s.apply(ctx, "set-up", records...)
	if err != nil {
		return err
	}
	return s.ready(ctx, change.Revision())
}

// ready waits until every entry has the revision in force.
func (s *script) ready(ctx context.Context, revision rock.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, e := range s.site.entries {
		if _, err := waitInForce(ctx, e, revision); err != nil {
			return err
		}
	}
	return s.linked(ctx)
}

// linked waits until every entry has heard of all others.
func (s *script) linked(ctx context.Context) error {
	for _, e := range s.site.entries {
		for e.entry.CountPeers() < len(s.site.entries)-1 {
			if !sleepUntil(ctx, time.Now().Add(watchInterval)) {
				return fmt.Errorf("wait for the peers of %s: %w", e.entry.Member().Name(), ctx.Err())
			}
		}
	}
	return nil
}

// watch notes each revision that an entry puts in force.
func (s *script) watch(ctx context.Context, e *runningEntry) error {
	for {
		changed := e.entry.Watch()
		s.trace.Add(trace.Event{At: time.Now(), Kind: trace.ChangeInForce, Entry: e.entry.Member().Name(), Revision: e.entry.Revision()})
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// waitInForce waits until the entry is ready with the revision in force and
// returns when it was seen.
func waitInForce(ctx context.Context, e *runningEntry, revision rock.Revision) (time.Time, error) {
	for {
		if ready := e.entry.Readiness(); ready.Ready && len(ready.Warnings) == 0 && e.entry.Revision() >= revision {
			return time.Now(), nil
		}
		if !sleepUntil(ctx, time.Now().Add(watchInterval)) {
			return time.Time{}, fmt.Errorf("wait for revision %d at %s: %w", revision, e.entry.Member().Name(), ctx.Err())
		}
	}
}

// apply makes a change through the first entry.
func (s *script) apply(ctx context.Context, why string, records ...rock.Record) (rock.Change, error) {
	return s.site.entries[0].operator.Change(ctx, client.Change{ChangeID: fmt.Sprintf("%s-%d", why, time.Now().UnixNano()), Why: why, Records: records})
}

// run changes a record, moves a host and runs a wave, one after another.
func (s *script) run(ctx context.Context) error {
	length := s.site.settings.Length
	if !sleepUntil(ctx, time.Now().Add(length/10)) {
		return nil
	}
	s.site.settings.progress("changing a record")
	if err := s.changeRecord(ctx); err != nil {
		return fmt.Errorf("change a record: %w", err)
	}
	s.site.settings.progress("moving a host")
	if err := s.moveHost(ctx); err != nil {
		return fmt.Errorf("move a host: %w", err)
	}
	s.site.settings.progress("running a wave")
	if err := s.runWave(ctx); err != nil {
		return fmt.Errorf("run a wave: %w", err)
	}
	return nil
}

// changeRecord changes a record and measures when each entry has it in force.
func (s *script) changeRecord(ctx context.Context) error {
	pool := s.site.shape.pools[1]
	r, err := s.site.entries[0].operator.Record(ctx, rock.NewKey(rock.KindOrganisation, pool), 0)
	if err != nil {
		return err
	}
	body := record.NewOrganisation(10_000, record.NewToken("caller", record.Digest(callerToken(pool)), rock.CallerRole))
	next, err := record.Encode(r.Key(), r.Version(), body)
	if err != nil {
		return err
	}
	change, err := s.apply(ctx, "quota", next)
	if err != nil {
		return err
	}
	accepted := time.Now()
	g := group.New(ctx)
	s.force = make([]time.Duration, len(s.site.entries))
	for i, e := range s.site.entries {
		g.Go("watch", func(ctx context.Context) error {
			at, err := waitInForce(ctx, e, change.Revision())
			s.force[i] = at.Sub(accepted)
			return err
		})
	}
	return g.Wait()
}

// moveHost moves a host of the spare pool to the second pool.
func (s *script) moveHost(ctx context.Context) error {
	host := operatorPool + "-" + s.site.shape.zones[0] + "1"
	begin := time.Now()
	body := record.NewMove(record.MoveSpec{
		Host:  host,
		From:  operatorPool,
		To:    s.site.shape.pools[1],
		State: record.MovePending,
		Since: begin.UTC(),
	})
	key := rock.NewKey(rock.KindMove, "trial-move")
	err := s.start(ctx, key, body, string(record.MoveDone))
	s.move = time.Since(begin)
	return err
}

// runWave maintains all hosts of the third pool.
func (s *script) runWave(ctx context.Context) error {
	begin := time.Now()
	body := record.NewWave(record.WaveSpec{
		Pools:       []string{s.site.shape.pools[2]},
		Action:      record.RebootAction,
		State:       record.WaveRunning,
		MaxParallel: 2,
	})
	err := s.start(ctx, rock.NewKey(rock.KindWave, "trial-wave"), body, string(record.WaveDone))
	s.wave = time.Since(begin)
	return err
}

// start writes a record and waits until its state is the one given.
func (s *script) start(ctx context.Context, key rock.Key, body record.Body, state string) error {
	r, err := record.Encode(key, 0, body)
	if err != nil {
		return err
	}
	if _, err := s.apply(ctx, key.Name(), r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	for {
		now, err := s.site.entries[0].operator.Record(ctx, key, 0)
		if err != nil {
			return err
		}
		if stateOf(now) == state {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(watchInterval)) {
			return fmt.Errorf("%s is still %s: %s", key, stateOf(now), now.Body())
		}
	}
}

// stateOf returns the state in a record's body.
func stateOf(r rock.Record) string {
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(r.Body(), &body)
	return body.State
}
