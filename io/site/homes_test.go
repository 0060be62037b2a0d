package site

import (
	"context"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"

	"gotest.tools/v3/assert"
)

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
	o.unreadParts = []string{"a#1", "a#2"}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g := group.New(ctx)
	g.Go("read unread parts", o.readUnreadParts)
	for ctx.Err() == nil && slices.Contains(o.unreadParts, "a#2") {
		select {
		case f := <-o.events:
			f(time.Now())
		case <-ctx.Done():
		}
	}
	assert.DeepEqual(t, o.unreadParts, []string{"a#1"})
	g.Stop()
	assert.NilError(t, g.Wait())
}
