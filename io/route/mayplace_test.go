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

// TestUnregisteredEntryPlacesNothing asks an entry that may not place yet: its
// refusal is true, it reports no slots to peers, and it places once it may.
func TestUnregisteredEntryPlacesNothing(t *testing.T) {
	var registered atomic.Bool
	b := newBench(t, 1, func(s *route.Settings) { s.MayPlace = registered.Load })
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
