package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"

	"github.com/sirupsen/logrus"
)

// Site is one entry process on the users' platform.
type Site struct {
	settings Settings
	view     *view
	trail    queueTrail
	self     tenure.Owner
	log      *logrus.Entry
	meters   meters
	lateness latenessMonitor

	// work holds the goroutines that may outlive the call that started them.
	work         *group.Group
	batchersMu   sync.Mutex
	batchers     map[string]*jobBatcher
	unresponsive unresponsiveParts
}

// New returns a Site that does nothing until [Site.Run] is called.
func New(s Settings) *Site {
	return &Site{
		settings: s,
		view:     newView(),
		self:     tenure.Owner{Name: s.Name, Session: fmt.Sprintf("%016x", rand.Uint64())},
		log:      s.Log.WithField("part", "site"),
		meters:   newMeters(s.Scope),

		work:     group.New(context.Background()),
		batchers: map[string]*jobBatcher{},
	}
}

// Run follows the platform and acquires and serves cells until ctx ends. It
// releases its cells before it returns.
func (s *Site) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("monitor lateness", func(ctx context.Context) error { return s.lateness.watch(ctx, s.now) })
	g.Go("follow configuration", s.followOperator)
	g.Go("follow workers", s.followWorkers)
	g.Go("follow cells", s.followCells)
	g.Go("keep queue records", s.keepTrail)
	g.Go("acquire cells", func(ctx context.Context) error { return s.acquireCells(ctx, g) })
	return g.Wait()
}

// SetStopping makes [Site.Ready] fail, so that the balancer sends no new connections.
func (s *Site) SetStopping() {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.view.stopping = true
}

func (s *Site) now() time.Time { return s.settings.Clock() }

// recordAnswer records whether a call to the platform's table was answered. An error
// that the table itself returned counts as an answer.
func (s *Site) recordAnswer(err error) {
	ok := isAnswer(err)
	if s.view.recordAnswer(s.now(), ok) {
		if ok {
			s.log.Info("Platform table regained.")
		} else {
			s.log.WithError(err).Warn("Platform table lost.")
		}
	}
}

// recordPartAnswer records whether a call about one part of the platform's table was
// answered. A part can be unavailable by itself.
func (s *Site) recordPartAnswer(part string, err error) {
	if isAnswer(err) {
		s.recordAnswer(nil)
		return
	}
	if s.view.recordPartFailure(part) {
		s.log.WithError(err).WithField("part", part).Warn("Platform table lost.")
	}
}

// isAnswer reports whether the table answered a call that returned err.
func isAnswer(err error) bool {
	return err == nil || rock.ReasonOf(err) == rock.Conflict || rock.ReasonOf(err) == rock.Expired
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
