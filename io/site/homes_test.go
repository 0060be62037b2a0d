package site

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
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
		cell: "a", log: logrus.NewEntry(logger), state: cell.New(cell.Settings{Pool: "a"}),
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
