package route_test

import (
	"context"
	"testing"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// losingList is a host list that tells its changes, and loses answers.
type losingList struct {
	*depot.Depot
	lose bool
	told int
}

func (l *losingList) ChangesSince(ctx context.Context, of rock.HostChangeFilter, since rock.HostCursor) (rock.HostUpdate, error) {
	u, err := l.Depot.ChangesSince(ctx, of, since)
	if l.lose {
		return rock.HostUpdate{}, rock.Fail("list host changes", "", rock.Unavailable, rock.NotRun)
	}
	l.told += len(u.Hosts())
	return u, err
}

// plainList is a host list that cannot tell its changes.
type plainList struct{ rock.HostList }

// platformOf returns a platform that knows the hosts.
func platformOf(hosts ...string) *depot.Depot {
	d := depot.New(depot.Settings{})
	for _, name := range hosts {
		d.AddHost(name, "127.0.0.1:1")
	}
	return d
}

func TestLeavingHostsAreFollowed(t *testing.T) {
	ctx := context.Background()
	l := &losingList{Depot: platformOf("h0", "h1", "h2")}
	followed, listed := route.LeavingHostsReader(l), route.LeavingHostsReader(plainList{l.Depot})
	check := func(want ...string) {
		t.Helper()
		for _, read := range []func(context.Context) ([]string, error){followed, listed} {
			got, err := read(ctx)
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(want))
			for i := range want {
				assert.Equal(t, got[i], want[i])
			}
		}
	}
	check()
	assert.NilError(t, l.Drain(ctx, "h1"))
	check("h1")
	l.SetLeases("h2", 1)
	check("h1")
	assert.Equal(t, l.told, 4)
	l.SetGone("h0", true)
	l.lose = true
	_, err := followed(ctx)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	l.lose = false
	check("h0", "h1")
	assert.NilError(t, l.Undrain(ctx, "h1"))
	check("h0")
	assert.Equal(t, l.told, 6)
	// The restarted platform was not told of h0, which was listed as gone.
	*l = losingList{Depot: platformOf("h1", "h2")}
	assert.NilError(t, l.Drain(ctx, "h2"))
	listed = route.LeavingHostsReader(plainList{l.Depot})
	check("h2")
}
