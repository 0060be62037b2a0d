package route_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// TestUnregisteredEntryPlacesNothing asks an entry that may not place yet: its
// refusal is true, it reports no slots to peers, and it places once it may.
func TestUnregisteredEntryPlacesNothing(t *testing.T) {
	host := rock.NewHost(rock.HostSpec{Name: "h1", Zone: "a", Pool: "tins", Generation: 1, Slots: 4, Open: true})
	workers := work.NewFleet(work.New(work.Settings{Name: "h1", Slots: 4}))
	var registered atomic.Bool
	g := group.New(context.Background())
	e := route.New(route.Settings{
		Member:   rock.NewMember("e1", "a", "", "1"),
		Fleet:    config.NewSource(config.New(1, []rock.Pool{rock.NewPool("tins", "alpha", false)}, []rock.Host{host})),
		Target:   workers,
		MayPlace: registered.Load,
		Group:    g,
	})
	request := rock.NewRequest(rock.RequestSpec{ID: "r1", Organisation: "alpha", Pool: "tins", Deadline: time.Now().Add(5 * time.Second), Payload: []byte(`{}`)})
	_, err := e.Do(context.Background(), request)
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost, "%v", err)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, len(e.Loads(time.Now())), 0)
	assert.Equal(t, len(workers.Worker("h1").Runs()), 0)
	registered.Store(true)
	_, err = e.Do(context.Background(), request)
	assert.NilError(t, err)
	g.Stop()
	assert.NilError(t, g.Wait())
}
