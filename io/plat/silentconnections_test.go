package plat_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/relay"
	"bramleyrock/io/plat"

	"gotest.tools/v3/assert"
)

// TestSilentConnectionsFailOneRequest makes several idle connections go silent
// permanently. Only the first request may time out; the next ones must use new
// connections.
func TestSilentConnectionsFailOneRequest(t *testing.T) {
	const connections = 8
	ctx := context.Background()
	d := depot.New(depot.Settings{})
	server := httptest.NewServer(d.Handler())
	t.Cleanup(server.Close)
	r, err := relay.New(strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	c, err := plat.New(plat.Settings{BaseURL: "http://" + r.Address(), Timeout: 500 * time.Millisecond})
	assert.NilError(t, err)

	d.SetFaults(depot.Faults{SlowMS: 100})
	g := group.New(ctx)
	for range connections {
		g.Go("read", func(ctx context.Context) error {
			_, err := c.Read(ctx, "head")
			return err
		})
	}
	assert.NilError(t, g.Wait())
	assert.Assert(t, r.Taken() >= connections/2, "concurrent requests use several connections")
	d.SetFaults(depot.Faults{})

	r.Silence()
	failed := 0
	for range connections {
		if _, err := c.Read(ctx, "head"); err != nil {
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
			failed++
		}
	}
	assert.Equal(t, failed, 1)
}
