package route_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// TestUnregisteredEntryPlacesNothing sends a request to an entry that may not
// place tasks yet. The entry must refuse it as not_run without a start and
// report no slots to its peers. It must run the request once it may place.
func TestUnregisteredEntryPlacesNothing(t *testing.T) {
	var registered atomic.Bool
	b := newFixture(t, 1, func(s *route.Settings) { s.MayPlace = registered.Load })
	r := request("r1", false, 5*time.Second, 0)
	_, err := b.engine.Do(context.Background(), r)
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost, "%v", err)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, len(b.engine.Loads(time.Now())), 0)
	assert.Equal(t, len(b.work.Worker("h0").Runs()), 0)
	registered.Store(true)
	_, err = b.engine.Do(context.Background(), r)
	assert.NilError(t, err)
}
