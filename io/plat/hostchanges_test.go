package plat_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/plat"

	"gotest.tools/v3/assert"
)

var (
	_ rock.IncrementalHostList = (*plat.Client)(nil)
	_ rock.IncrementalHostList = (*depot.Depot)(nil)
)

// checkChanges reads the changes since the cursor, and checks the number of hosts
// and whether the update is full.
func checkChanges(t *testing.T, c *plat.Client, of rock.HostChangeFilter, since rock.HostCursor, hosts int, full bool) rock.HostUpdate {
	t.Helper()
	u, err := c.ChangesSince(context.Background(), of, since)
	assert.NilError(t, err)
	assert.Equal(t, len(u.Hosts()), hosts)
	assert.Equal(t, u.Full(), full)
	return u
}

// TestHostChangesAreReportedOnce reads changes with the cursor of each update. A
// change must be in the next update after the lag of the host list, and in no
// later one. Lease counts only matter to the filter that includes them, when they
// change from or to 0. An unknown cursor must lead to a full update.
func TestHostChangesAreReportedOnce(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(100, 0)
	d := depot.New(depot.Settings{HostListLag: time.Second, Now: func() time.Time { return now }})
	c := newClient(t, d)
	d.AddHost("h1", "127.0.0.1:1")
	d.AddHost("h2", "127.0.0.1:2")
	u := checkChanges(t, c, rock.StateAndLeaseChanges, "", 2, true)
	assert.NilError(t, d.Drain(ctx, "h2"))
	u = checkChanges(t, c, rock.StateAndLeaseChanges, u.Next(), 0, false)
	now = now.Add(time.Second)
	before := u.Next()
	u = checkChanges(t, c, rock.StateAndLeaseChanges, before, 1, false)
	assert.Equal(t, u.Hosts()[0].Name(), "h2")
	assert.Equal(t, u.Hosts()[0].State(), rock.HostLeaving)
	checkChanges(t, c, rock.StateAndLeaseChanges, u.Next(), 0, false)
	checkChanges(t, c, rock.StateAndLeaseChanges, before, 1, false)
	for leases, reported := range []int{0, 1, 0} {
		d.SetLeases("h1", leases)
		now = now.Add(time.Second)
		checkChanges(t, c, rock.StateChanges, u.Next(), 0, false)
		u = checkChanges(t, c, rock.StateAndLeaseChanges, u.Next(), reported, false)
	}
	checkChanges(t, c, rock.StateAndLeaseChanges, "unknown", 2, true)
	_, err := c.ChangesSince(ctx, "racks", u.Next())
	assert.Equal(t, rock.ReasonOf(err), rock.BadInput)
	checkChanges(t, c, rock.StateAndLeaseChanges, u.Next()+"9", 2, true)
}

// TestHostChangesSurviveFaults loses a response, and then restarts the platform.
// The lost changes must be read again with the old cursor, which a restarted
// platform must answer with a full update.
func TestHostChangesSurviveFaults(t *testing.T) {
	var lose atomic.Bool
	var served atomic.Pointer[depot.Depot]
	first := depot.New(depot.Settings{})
	first.AddHost("h1", "127.0.0.1:1")
	served.Store(first)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lose.Load() {
			served.Load().Handler().ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		served.Load().Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	c, err := plat.New(plat.Settings{BaseURL: s.URL})
	assert.NilError(t, err)
	u := checkChanges(t, c, rock.StateAndLeaseChanges, "", 1, true)
	assert.NilError(t, first.Drain(context.Background(), "h1"))
	lose.Store(true)
	_, err = c.ChangesSince(context.Background(), rock.StateAndLeaseChanges, u.Next())
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	lose.Store(false)
	u = checkChanges(t, c, rock.StateAndLeaseChanges, u.Next(), 1, false)
	assert.Equal(t, u.Hosts()[0].State(), rock.HostLeaving)

	restarted := depot.New(depot.Settings{})
	restarted.AddHost("h2", "127.0.0.1:2")
	served.Store(restarted)
	u = checkChanges(t, c, rock.StateAndLeaseChanges, u.Next(), 1, true)
	assert.Equal(t, u.Hosts()[0].Name(), "h2")
}
