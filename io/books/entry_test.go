package books_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 20 * time.Second

// settings returns settings with short intervals.
func settings(d *depot.Depot) books.Settings {
	return books.Settings{
		Table:           d,
		Objects:         d,
		Now:             time.Now,
		Poll:            10 * time.Millisecond,
		MaxBackoff:      40 * time.Millisecond,
		PeerGracePeriod: 100 * time.Millisecond,
		OutcomeTimeout:  2 * time.Second,
	}
}

// entry returns books that follow the feed until the test ends.
func entry(t testing.TB, s books.Settings) *books.Books {
	b, _ := stoppableEntry(t, s)
	return b
}

// stoppableEntry is like entry but also returns a function that stops the books.
func stoppableEntry(t testing.TB, s books.Settings) (*books.Books, func()) {
	b := books.New(s)
	g := group.New(context.Background())
	g.Go("follow", b.Follow)
	stop := func() {
		g.Stop()
		assert.Check(t, g.Wait() == nil)
	}
	t.Cleanup(stop)
	return b, stop
}

// eventually polls until the condition is true.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(2*time.Millisecond))
}

// waitForRevision waits until the books have at least that revision in force.
func waitForRevision(t testing.TB, b *books.Books, r rock.Revision) {
	t.Helper()
	eventually(t, fmt.Sprintf("revision %d", r), func() bool { return b.Revision() >= r })
}

func body(kind rock.Kind, name string, schema int, version uint64, text string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), schema, version, json.RawMessage(text))
}

func organisation(name string, version uint64, quota int) rock.Record {
	return body(rock.KindOrganisation, name, 1, version, fmt.Sprintf(`{"quota":%d}`, quota))
}

func proposal(id string, records ...rock.Record) rock.Proposal {
	return rock.Proposal{ID: id, Who: "operator", Why: "test", Records: records}
}

// change commits a change that must be accepted.
func change(t testing.TB, b *books.Books, id string, records ...rock.Record) rock.Change {
	t.Helper()
	c, err := b.Change(context.Background(), time.Now(), proposal(id, records...))
	assert.NilError(t, err)
	return c
}
