package site

import (
	"context"
	"sync"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// listJobs reads all rows of a cell's jobs. The version is that of the oldest
// reading, from which changes are to be followed. What was handed in is read before
// progress and outcomes, so that a job that ends meanwhile is listed with its
// outcome.
func (s *Site) listJobs(ctx context.Context, cell string) (rock.Changes, error) {
	var mu sync.Mutex
	var all rock.Changes
	read := func(ctx context.Context, part string) error {
		c, err := s.settings.Store.List(ctx, jobTable(cell), part, "", "")
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if all.Version == 0 || c.Version < all.Version {
			all.Version, all.Now = c.Version, c.Now
		}
		all.Rows = append(all.Rows, c.Rows...)
		return nil
	}
	g := group.New(ctx)
	for i := range intakeSpread {
		g.Go("list jobs", func(ctx context.Context) error { return read(ctx, intakeName(cell, i)) })
	}
	if err := g.Wait(); err != nil {
		return rock.Changes{}, err
	}
	if err := read(ctx, cell); err != nil {
		return rock.Changes{}, err
	}
	return all, nil
}
