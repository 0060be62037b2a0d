package route_test

import (
	"context"
	"testing"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// flakyHostList is an incremental host list whose answers are lost while failing
// is set. It counts the hosts in its answers.
type flakyHostList struct {
	*depot.Depot
	failing   bool
	hostsRead int
}

func (l *flakyHostList) ChangesSince(ctx context.Context, of rock.HostChangeFilter, since rock.HostCursor) (rock.HostUpdate, error) {
	u, err := l.Depot.ChangesSince(ctx, of, since)
	if l.failing {
		return rock.HostUpdate{}, rock.Fail("list host changes", "", rock.Unavailable, rock.NotRun)
	}
	l.hostsRead += len(u.Hosts())
	return u, err
}

// fullHostList is a host list that supports only full reads.
type fullHostList struct{ rock.HostList }

// newPlatform returns a platform that lists the hosts.
func newPlatform(hosts ...string) *depot.Depot {
	d := depot.New(depot.Settings{})
	for _, name := range hosts {
		d.AddHost(name, "127.0.0.1:1")
	}
	return d
}

// TestLeavingHostsFollowHostList checks that reading only changes gives the same
// hosts as reading the full list, also after a lost answer and after a restart
// of the platform, which invalidates the cursor.
func TestLeavingHostsFollowHostList(t *testing.T) {
	ctx := context.Background()
	l := &flakyHostList{Depot: newPlatform("h0", "h1", "h2")}
	followed, listed := route.LeavingHostsReader(l), route.LeavingHostsReader(fullHostList{l.Depot})
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
	assert.Equal(t, l.hostsRead, 4)
	l.SetGone("h0", true)
	l.failing = true
	_, err := followed(ctx)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	l.failing = false
	check("h0", "h1")
	assert.NilError(t, l.Undrain(ctx, "h1"))
	check("h0")
	assert.Equal(t, l.hostsRead, 6)
	// The restarted platform does not list h0, which was listed as gone.
	*l = flakyHostList{Depot: newPlatform("h1", "h2")}
	assert.NilError(t, l.Drain(ctx, "h2"))
	listed = route.LeavingHostsReader(fullHostList{l.Depot})
	check("h2")
}
