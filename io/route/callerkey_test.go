package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// newClusterWithTable starts a cluster whose entries claim keys in the table of
// a new platform.
func newClusterWithTable(t *testing.T) (*cluster, *depot.Depot) {
	t.Helper()
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1, Seed: 3})
	return newClusterOn(t, d), d
}

// newClusterOn starts a cluster whose entries claim keys in the table of d.
func newClusterOn(t testing.TB, d *depot.Depot) *cluster {
	t.Helper()
	s := newCluster(t)
	s.table = d
	for name, zone := range map[string]string{"e1": "a", "e2": "a", "e3": "b"} {
		s.restart(name, zone)
	}
	return s
}

// TestChosenKeyRunsOnce sends a request again through another entry, around
// faults of the platform, the claimant e1 and the links. A second start would
// mean that two entries ran the request of one key.
func TestChosenKeyRunsOnce(t *testing.T) {
	cases := map[string]struct {
		before func(s *cluster, d *depot.Depot)
		after  func(s *cluster, d *depot.Depot)
		first  rock.Verdict
		second rock.Verdict
		starts int
	}{
		"resent":                     {nil, nil, rock.Ran, rock.Ran, 1},
		"claim without answer":       {func(_ *cluster, d *depot.Depot) { d.SetFaults(depot.Faults{LoseAnswers: 1}) }, nil, rock.Ran, rock.Ran, 1},
		"claim lost":                 {func(_ *cluster, d *depot.Depot) { d.SetFaults(depot.Faults{LoseCalls: 1}) }, nil, rock.MayHaveRun, rock.Ran, 1},
		"platform down":              {func(_ *cluster, d *depot.Depot) { d.SetFaults(depot.Faults{Down: true}) }, nil, rock.MayHaveRun, rock.MayHaveRun, 0},
		"platform down for a resend": {nil, func(_ *cluster, d *depot.Depot) { d.SetFaults(depot.Faults{Down: true}) }, rock.Ran, rock.MayHaveRun, 1},
		"claimant killed":            {nil, func(s *cluster, _ *depot.Depot) { s.kill("e1") }, rock.Ran, rock.MayHaveRun, 1},
		"claimant restarted":         {nil, func(s *cluster, _ *depot.Depot) { s.restart("e1", "a") }, rock.Ran, rock.MayHaveRun, 1},
		"claimant cut off":           {nil, func(s *cluster, _ *depot.Depot) { s.setLinkFault(requestsLost) }, rock.Ran, rock.MayHaveRun, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, d := newClusterWithTable(t)
			if c.before != nil {
				c.before(s, d)
			}
			_, err := s.engine("e1").Do(context.Background(), keyedRequest("r1", "invoice 7", "invoice", 1))
			assert.Equal(t, rock.VerdictOf(err), c.first, "%v", err)
			if c.after != nil {
				c.after(s, d)
			}
			answer, err := s.engine("e3").Do(context.Background(), keyedRequest("r2", "invoice 7", "invoice", 1))
			assert.Equal(t, rock.VerdictOf(err), c.second, "%v", err)
			if err == nil {
				assert.Equal(t, string(answer.Payload()), `{"echo":"invoice"}`)
			}
			assert.Equal(t, s.countStarts("invoice"), c.starts)
		})
	}
}

func TestConcurrentSendsOfChosenKeyRunOnce(t *testing.T) {
	s, _ := newClusterWithTable(t)
	answers := make(chan string, 30)
	for i := range 30 {
		s.group.Go("send", func(ctx context.Context) error {
			a, err := s.engine(fmt.Sprintf("e%d", i%3+1)).Do(ctx, keyedRequest(fmt.Sprint("r", i), "invoice 7", "invoice", 50))
			answers <- string(a.Payload())
			return err
		})
	}
	for range 30 {
		assert.Equal(t, <-answers, `{"echo":"invoice"}`)
	}
	assert.Equal(t, s.countStarts("invoice"), 1)
}

func TestChosenKeysAreScopedToOrganisation(t *testing.T) {
	s, _ := newClusterWithTable(t)
	for _, organisation := range []string{"alpha", "beta"} {
		r := rock.NewRequest(rock.RequestSpec{ID: organisation, Organisation: organisation, Pool: "tins", IdempotencyKey: "7", Deadline: time.Now().Add(10 * time.Second), Payload: []byte(`{"key":"check"}`)})
		_, err := s.engine("e1").Do(context.Background(), r)
		assert.NilError(t, err)
	}
	assert.Equal(t, s.countStarts("check"), 2)
}

// TestRandomSchedulesOfChosenKeys runs 1,000 seeded schedules of resends with
// keys that callers chose, while the platform loses calls and answers. No key
// may be started twice, nor started if every send was answered not_run.
func TestRandomSchedulesOfChosenKeys(t *testing.T) {
	t.Parallel()
	const schedules, seed = 1000, 5
	s, d := newClusterWithTable(t)
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for i := range schedules {
		label := fmt.Sprint("invoice", i)
		d.SetFaults(depot.Faults{LoseAnswers: random.IntN(2), LoseCalls: random.IntN(2), Down: random.IntN(10) == 0})
		s.replaceWorkers()
		verdicts := runSchedule(s, random, label, label)
		started, ran := s.countStarts(label), false
		for _, v := range verdicts {
			ran = ran || v != rock.NotRun
		}
		assert.Assert(t, started <= 1, "seed %d schedule %d: %d started", seed, i, started)
		assert.Assert(t, ran || started == 0, "seed %d schedule %d: all sends not_run, %d started", seed, i, started)
		total += started
	}
	t.Logf("seed %d: %d of %d were started, none twice", seed, total, schedules)
}

func TestExpiredClaimRowsAreDeleted(t *testing.T) {
	d := depot.New(depot.Settings{})
	for i := range 150 {
		var w rock.Transaction
		expires := time.Now().Add(-2 * time.Minute)
		if i%2 == 0 {
			expires = time.Now().Add(time.Hour)
		}
		w.Put(fmt.Sprintf("claim/alpha/%03d", i), fmt.Appendf(nil, `{"home":"e1","expires_at":%q}`, expires.Format(time.RFC3339)))
		assert.NilError(t, d.Commit(context.Background(), w))
	}
	left := sweepAll(t, d)
	assert.Equal(t, left, 75)
}

// sweepAll sweeps all pages and returns the number of claim rows that remain.
func sweepAll(t *testing.T, d *depot.Depot) int {
	t.Helper()
	after := ""
	for {
		next, err := route.SweepPage(context.Background(), d, time.Now(), after)
		assert.NilError(t, err)
		if next == "" {
			break
		}
		after = next
	}
	rows, err := d.Scan(context.Background(), "claim/", "", 1000)
	assert.NilError(t, err)
	return len(rows)
}

// BenchmarkOnce measures requests with keys that an entry issued and with keys
// that callers chose, with 32 concurrent callers and the default limits of the
// platform stand-in, 400 writes per second.
func BenchmarkOnce(b *testing.B) {
	for _, origin := range []string{"issued", "chosen"} {
		b.Run(origin, func(b *testing.B) {
			const callers = 32
			d := depot.New(depot.Settings{})
			s := newClusterOn(b, d)
			e := s.engine("e1")
			refused := make([]int, callers)
			g := group.New(context.Background())
			before := d.Stats().Writes
			for c := range callers {
				g.Go("caller", func(ctx context.Context) error {
					for i := range b.N/callers + 1 {
						key := fmt.Sprintf("%d %d %d", b.N, c, i)
						if origin == "issued" {
							keys, _, err := e.IssueKeys(time.Now(), "alpha", 1)
							if err != nil {
								return err
							}
							key = keys[0]
						}
						if _, err := e.Do(ctx, keyedRequest(key, key, key, 0)); err != nil {
							refused[c]++
						}
					}
					return nil
				})
			}
			assert.NilError(b, g.Wait())
			total, lost := callers*(b.N/callers+1), 0
			for _, n := range refused {
				lost += n
			}
			b.ReportMetric(float64(d.Stats().Writes-before)/float64(total), "writes/op")
			b.ReportMetric(100*float64(lost)/float64(total), "%refused")
		})
	}
}
