package site

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// jobListing holds all rows of a cell's jobs.
type jobListing struct {
	rows []rock.Row
	// version is the oldest version among the reads. Later changes must be followed
	// from it.
	version uint64
	// unreadParts holds the intake parts that could not be read.
	unreadParts []string
}

// intakeListTimeout bounds the reading of the intake parts. Parts may be unavailable,
// and an owner must finish reading its cell while its lease is valid.
const intakeListTimeout = 800 * time.Millisecond

// listJobs reads all rows of a cell's jobs, from its intake parts and the given homes.
// The intake parts are read before progress and outcomes, so that a job that ends
// meanwhile is listed with its outcome. It fails if a home cannot be read.
func (s *Site) listJobs(ctx context.Context, cell string, homes []int) (jobListing, error) {
	var mu sync.Mutex
	var l jobListing
	read := func(ctx context.Context, part string) error {
		c, err := s.settings.Store.List(ctx, jobTable(cell), part, "", "")
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if l.version == 0 || c.Version < l.version {
			l.version = c.Version
		}
		l.rows = append(l.rows, c.Rows...)
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, intakeListTimeout)
	defer cancel()
	g := group.New(bounded)
	for i := range intakePartCount {
		part := intakePart(cell, i)
		g.Go("list jobs", func(ctx context.Context) error {
			if err := read(ctx, part); err != nil {
				s.log.WithError(err).WithField("part", part).Info("Jobs of a part cannot be read.")
				mu.Lock()
				defer mu.Unlock()
				l.unreadParts = append(l.unreadParts, part)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return jobListing{}, err
	}
	g = group.New(ctx)
	for _, home := range homes {
		g.Go("list progress", func(ctx context.Context) error { return read(ctx, homePart(cell, home)) })
	}
	if err := g.Wait(); err != nil {
		return jobListing{}, err
	}
	return l, nil
}
