package group

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines with one context. It ends when one of them fails.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	errs   *errgroup.Group
}

// New returns an empty group. Its context is cancelled when ctx is done.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	errs, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, errs: errs}
}

// Go runs f in a new goroutine. An error of f, wrapped with the name, cancels the
// group. The error [context.Canceled] after the group was cancelled is ignored.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.errs.Go(func() error {
		err := f(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) && g.ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", name, err)
	})
}

// Context returns the context that is passed to the goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the context of all goroutines. It does not wait for them.
func (g *Group) Stop() { g.cancel() }

// Wait waits until all goroutines have ended and returns the first error.
func (g *Group) Wait() error {
	err := g.errs.Wait()
	g.cancel()
	return err
}
