package trial

import (
	"context"
	"fmt"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/core/trace"
)

// Run runs a trial and returns its report. An error means that the trial could
// not be carried out.
func Run(ctx context.Context, s Settings) (Report, error) {
	s = s.withDefaults()
	s.progress("starting the platform, the targets and the entries")
	t, err := newSite(s)
	if err != nil {
		return Report{}, fmt.Errorf("start trial: %w", err)
	}
	r, err := t.trial(ctx)
	if closed := t.close(ctx); err == nil {
		err = closed
	}
	return r, err
}

// trial puts the load and the operator's script on the site.
func (t *site) trial(ctx context.Context) (Report, error) {
	log := &trace.Log{}
	s := &script{site: t, trace: log}
	if err := s.setUp(ctx); err != nil {
		return Report{}, fmt.Errorf("set up trial: %w", err)
	}
	for _, e := range t.entries {
		log.Add(trace.Event{At: time.Now(), Kind: trace.EntryStarted, Entry: e.entry.Member().Name(), Zone: e.entry.Member().Zone()})
	}
	for _, e := range t.entries {
		t.duties.Go("watch", func(ctx context.Context) error { return s.watch(ctx, e) })
	}
	before := t.platform.Stats()
	l := newLoad(t, log)
	start := time.Now()
	g := group.New(ctx)
	g.Go("load", func(ctx context.Context) error { return l.run(ctx, start, l.plan()) })
	var failed error
	g.Go("operator", func(ctx context.Context) error {
		failed = s.run(ctx)
		return nil
	})
	g.Go("progress", func(ctx context.Context) error { return l.showProgress(ctx, start) })
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	after := t.platform.Stats()
	seconds := time.Since(start).Seconds()
	changes, err := t.entries[0].operator.Changes(ctx, allChanges)
	if err != nil {
		return Report{}, fmt.Errorf("read the audit trail: %w", err)
	}
	t.settings.progress("stopping every entry with requests in flight")
	if err := l.stopAll(ctx); err != nil {
		failed = err
	}
	log.Add(changeEvents(changes)...)
	log.Add(t.targetEvents()...)
	report := l.report(s, log, failed)
	report.PlatformReads = float64(after.Reads-before.Reads) / seconds
	report.PlatformWrites = float64(after.Writes-before.Writes) / seconds
	return report, nil
}

// showProgress tells how far the load is, once a second.
func (l *load) showProgress(ctx context.Context, start time.Time) error {
	length := l.site.settings.Length
	for at := time.Second; at <= length; at += time.Second {
		if !sleepUntil(ctx, start.Add(at)) {
			return nil
		}
		l.mu.Lock()
		answered := len(l.samples)
		l.mu.Unlock()
		l.site.settings.progress(fmt.Sprintf("%v of %v: %d requests answered or refused", at, length, answered))
	}
	return nil
}
