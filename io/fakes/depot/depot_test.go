package depot_test

import (
	"context"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

var (
	_ rock.Table       = (*depot.Depot)(nil)
	_ rock.ObjectStore = (*depot.Depot)(nil)
	_ rock.HostList    = (*depot.Depot)(nil)
)

// put returns a transaction that writes the key if it has the version.
func put(key string, version uint64) rock.Transaction {
	var t rock.Transaction
	t.Require(key, version)
	t.Put(key, []byte("1"))
	return t
}

func TestVersionsNeverRepeat(t *testing.T) {
	ctx := context.Background()
	d := depot.New(depot.Settings{})
	assert.NilError(t, d.Commit(ctx, put("a", 0)))
	var remove rock.Transaction
	remove.Delete("a")
	assert.NilError(t, d.Commit(ctx, remove))
	assert.NilError(t, d.Commit(ctx, put("a", 0)))
	rows, err := d.Read(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version(), uint64(3))
	err = d.Commit(ctx, put("a", 1))
	assert.Equal(t, rock.ReasonOf(err), rock.Conflict)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestFaultsOfCommit(t *testing.T) {
	tests := map[string]struct {
		faults  depot.Faults
		reason  rock.Reason
		verdict rock.Verdict
		written bool
	}{
		"none":         {faults: depot.Faults{}, verdict: rock.Ran, written: true},
		"down":         {depot.Faults{Down: true}, rock.Unavailable, rock.NotRun, false},
		"answer lost":  {depot.Faults{LoseAnswers: 1}, rock.OutcomeUnknown, rock.MayHaveRun, true},
		"all lost":     {depot.Faults{LoseShare: 1}, rock.OutcomeUnknown, rock.MayHaveRun, true},
		"call lost":    {depot.Faults{LoseCalls: 1}, rock.OutcomeUnknown, rock.MayHaveRun, false},
		"list is down": {faults: depot.Faults{HostListDown: true}, verdict: rock.Ran, written: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := depot.New(depot.Settings{Seed: 1})
			d.SetFaults(test.faults)
			err := d.Commit(ctx, put("a", 0))
			assert.Equal(t, rock.ReasonOf(err), test.reason)
			assert.Equal(t, rock.VerdictOf(err), test.verdict)
			d.SetFaults(depot.Faults{})
			rows, err := d.Read(ctx, "a")
			assert.NilError(t, err)
			assert.Equal(t, rows[0].Exists(), test.written)
		})
	}
}

func TestRateIsCapped(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(0, 0)
	d := depot.New(depot.Settings{WritesPerSecond: 2, Now: func() time.Time { return now }})
	assert.NilError(t, d.Commit(ctx, put("a", 0)))
	assert.NilError(t, d.Commit(ctx, put("b", 0)))
	err := d.Commit(ctx, put("c", 0))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	now = now.Add(500 * time.Millisecond)
	assert.NilError(t, d.Commit(ctx, put("c", 0)))
	assert.Equal(t, d.Stats().Throttled, uint64(1))
}

func TestScanPages(t *testing.T) {
	ctx := context.Background()
	d := depot.New(depot.Settings{})
	for _, k := range []string{"x/2", "x/1", "y/1", "x/3"} {
		assert.NilError(t, d.Commit(ctx, put(k, 0)))
	}
	rows, err := d.Scan(ctx, "x/", "x/1", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key(), "x/2")
}

func TestHostListLags(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(100, 0)
	rebooted := ""
	d := depot.New(depot.Settings{
		HostListLag: time.Second,
		RebootTime:  3 * time.Second,
		OnReboot:    func(name, _ string) { rebooted += name },
		Now:         func() time.Time { return now },
	})
	d.AddHost("h1", "127.0.0.1:1")
	steps := []struct {
		after time.Duration
		state rock.HostState
		boots uint64
	}{
		{0, rock.HostLive, 1},
		{time.Second, rock.HostRebooting, 1},
		{2 * time.Second, rock.HostRebooting, 1},
		{time.Second, rock.HostLive, 2},
	}
	assert.NilError(t, d.Reboot(ctx, "h1", "r1"))
	assert.NilError(t, d.Reboot(ctx, "h1", "r1"))
	for _, s := range steps {
		now = now.Add(s.after)
		list, err := d.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, list[0].State(), s.state)
		assert.Equal(t, list[0].Boots(), s.boots)
	}
	assert.Equal(t, rebooted, "h1")
	assert.Equal(t, rock.ReasonOf(d.Drain(ctx, "h2")), rock.NotFound)
}
