package site

import (
	"context"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// TestJobIsNotMissedBetweenAReadAndAListing guards against a job that no owner knows. It is
// stored after its part is read, and before the version from which changes are followed.
func TestJobIsNotMissedBetweenAReadAndAListing(t *testing.T) {
	t.Parallel()
	const (
		id      = "00000000000000aa"
		read    = 5 // the version of the read
		stored  = 7 // that of the job
		version = 9 // that of the listing, which could not read the part
	)
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	part := intakeParts("a", id)[0]
	value, err := works.EncodeJob(works.Job{ID: id, Queue: "q", Spec: works.Spec{Steps: []works.Step{{Count: 1}}}})
	assert.NilError(t, err)
	row := rock.NewRow(key(jobTable("a"), part, id+jobSuffix), stored, value)

	logger, _ := logtest.NewNullLogger()
	o := &cellOwner{
		site: &Site{}, cell: "a", pool: "a", log: logrus.NewEntry(logger), state: cell.New(cell.Settings{Pool: "a"}),
		unreadParts: map[string]uint64{}, extraParts: map[string][]string{},
	}
	o.addUnreadParts(start, []string{part}, 1)
	o.addUnreadParts(start, []string{part}, version)
	o.handlePart(start, part, rock.Changes{Version: read})
	for p := range o.unreadParts {
		o.handlePart(start, p, rock.Changes{Version: version, Rows: []rock.Row{row}})
	}
	assert.Equal(t, len(o.unreadParts), 0)
	assert.Equal(t, o.state.Load(start).WaitingJobs["q"], 1)
}

// partStore answers reads of all parts but the silent one.
type partStore struct {
	rock.Store
	silent string
}

func (s *partStore) List(ctx context.Context, _, part, _, _ string) (rock.Changes, error) {
	if part == s.silent {
		<-ctx.Done()
		return rock.Changes{}, ctx.Err()
	}
	return rock.Changes{}, nil
}

// TestSilentPartDelaysNoOthers guards against jobs that wait because the read of another
// part has no answer.
func TestSilentPartDelaysNoOthers(t *testing.T) {
	t.Parallel()
	o, _, _ := waitsFixture(time.Now())
	o.site.settings.Clock = time.Now
	o.site.settings.Store = &partStore{silent: "a#1"}
	o.events = make(chan func(time.Time), maxEvents)
	o.unreadParts = map[string]uint64{"a#1": 0, "a#2": 0}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g := group.New(ctx)
	g.Go("read unread parts", o.readUnreadParts)
	for ctx.Err() == nil && len(o.unreadParts) > 1 {
		select {
		case f := <-o.events:
			f(time.Now())
		case <-ctx.Done():
		}
	}
	assert.DeepEqual(t, o.unreadParts, map[string]uint64{"a#1": 0})
	g.Stop()
	assert.NilError(t, g.Wait())
}
