package group

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that end together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	errs   *errgroup.Group
}

// New returns an empty group whose goroutines end when ctx does.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	errs, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, errs: errs}
}

// Go starts a duty. An error that it returns ends the group and carries the
// duty's name; an end by cancellation is no error.
func (g *Group) Go(name string, duty func(ctx context.Context) error) {
	g.errs.Go(func() error {
		err := duty(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) && g.ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", name, err)
	})
}

// Context returns the context of the group's duties.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the context of all duties.
func (g *Group) Stop() { g.cancel() }

// Wait waits for all duties and returns the first error.
func (g *Group) Wait() error {
	err := g.errs.Wait()
	g.cancel()
	return err
}
