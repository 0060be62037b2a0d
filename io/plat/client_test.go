package plat_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/plat"

	"gotest.tools/v3/assert"
)

var (
	_ rock.Table       = (*plat.Client)(nil)
	_ rock.ObjectStore = (*plat.Client)(nil)
	_ rock.HostList    = (*plat.Client)(nil)
)

// newClient returns a client of the fake platform d, which is served over HTTP.
func newClient(t *testing.T, d *depot.Depot) *plat.Client {
	t.Helper()
	s := httptest.NewServer(d.Handler())
	t.Cleanup(s.Close)
	c, err := plat.New(plat.Settings{BaseURL: s.URL, Timeout: 200 * time.Millisecond})
	assert.NilError(t, err)
	return c
}

// put returns a transaction that writes the row if it has the version.
func put(key string, version uint64) rock.Transaction {
	var t rock.Transaction
	t.Require(key, version)
	t.Put(key, []byte("\x00\xff"))
	return t
}

// TestTableOverHTTP writes, reads and scans rows, and commits with an outdated
// version, which must be a conflict.
func TestTableOverHTTP(t *testing.T) {
	ctx := context.Background()
	c := newClient(t, depot.New(depot.Settings{}))
	assert.NilError(t, c.Commit(ctx, put("a/1", 0)))
	rows, err := c.Read(ctx, "a/1", "a/2")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value()), "\x00\xff")
	assert.Equal(t, rows[0].Version(), uint64(1))
	assert.Assert(t, !rows[1].Exists())
	rows, err = c.Scan(ctx, "a/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	err = c.Commit(ctx, put("a/1", 0))
	assert.Equal(t, rock.ReasonOf(err), rock.Conflict)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

// TestVerdictsOfCommit commits under faults of the platform. Only a commit that
// the platform refused may have the verdict that it was not run.
func TestVerdictsOfCommit(t *testing.T) {
	tests := map[string]struct {
		faults  depot.Faults
		reason  rock.Reason
		verdict rock.Verdict
	}{
		"down":        {depot.Faults{Down: true}, rock.Unavailable, rock.NotRun},
		"answer lost": {depot.Faults{LoseAnswers: 1}, rock.OutcomeUnknown, rock.MayHaveRun},
		"call lost":   {depot.Faults{LoseCalls: 1}, rock.OutcomeUnknown, rock.MayHaveRun},
		"slow":        {depot.Faults{SlowMS: 60_000}, rock.OutcomeUnknown, rock.MayHaveRun},
		"rate capped": {depot.Faults{WritesPerSecond: 0.001}, rock.Unavailable, rock.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := depot.New(depot.Settings{Seed: 1})
			c := newClient(t, d)
			d.SetFaults(test.faults)
			if test.faults.WritesPerSecond > 0 {
				assert.NilError(t, c.Commit(ctx, put("b", 0)))
			}
			err := c.Commit(ctx, put("a", 0))
			assert.Equal(t, rock.ReasonOf(err), test.reason)
			assert.Equal(t, rock.VerdictOf(err), test.verdict)
		})
	}
}

// TestRefusedConnectionIsNotRun commits when no server listens: the request cannot have
// been sent.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := httptest.NewServer(depot.New(depot.Settings{}).Handler())
	s.Close()
	c, err := plat.New(plat.Settings{BaseURL: s.URL})
	assert.NilError(t, err)
	err = c.Commit(context.Background(), put("a", 0))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

// TestObjectsOverHTTP writes, reads and removes an object, and uses a name that
// would lead outside the object store.
func TestObjectsOverHTTP(t *testing.T) {
	ctx := context.Background()
	c := newClient(t, depot.New(depot.Settings{}))
	const name = "snapshot/00000000000000000001"
	assert.NilError(t, c.Put(ctx, name, []byte("\x00data")))
	data, err := c.Get(ctx, name)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "\x00data")
	assert.NilError(t, c.Remove(ctx, name))
	_, err = c.Get(ctx, name)
	assert.Equal(t, rock.ReasonOf(err), rock.NotFound)
	assert.Equal(t, rock.ReasonOf(c.Put(ctx, "../hosts", nil)), rock.BadInput)
}

// TestHostsOverHTTP lists, drains, undrains and reboots a host, and uses names
// of hosts that do not exist or are not allowed.
func TestHostsOverHTTP(t *testing.T) {
	ctx := context.Background()
	d := depot.New(depot.Settings{RebootTime: time.Hour})
	c := newClient(t, d)
	d.AddHost("h1", "127.0.0.1:1")
	d.SetLeases("h1", 3)
	assert.NilError(t, c.Drain(ctx, "h1"))
	list, err := c.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, list[0].State(), rock.HostLeaving)
	assert.Equal(t, list[0].Leases(), 3)
	assert.NilError(t, c.Undrain(ctx, "h1"))
	assert.NilError(t, c.Reboot(ctx, "h1", "r1"))
	list, err = c.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, list[0].State(), rock.HostRebooting)
	assert.Equal(t, rock.ReasonOf(c.Drain(ctx, "h9")), rock.NotFound)
	assert.Equal(t, rock.ReasonOf(c.Drain(ctx, "h/9")), rock.BadInput)
}

func TestSettingsAreChecked(t *testing.T) {
	for _, base := range []string{"", "127.0.0.1:7000", "ftp://127.0.0.1", "http://"} {
		_, err := plat.New(plat.Settings{BaseURL: base})
		assert.ErrorContains(t, err, "want http://HOST:PORT")
	}
}
