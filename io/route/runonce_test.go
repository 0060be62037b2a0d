package route_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"

	"gotest.tools/v3/assert"
)

// keyed returns a request that is not idempotent. The targets' ledgers show
// label.
func keyed(id, key, label string, workMS int) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID: id, Organisation: "alpha", Pool: "tins", IdempotencyKey: key, Deadline: time.Now().Add(10 * time.Second),
		Payload: json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"echo":%q,"key":%q}`, workMS, label, label)),
	})
}

// issue returns a key of the entry.
func issue(t *testing.T, s *site, home string) string {
	t.Helper()
	keys, _, err := s.engine(home).IssueKeys(time.Now(), "alpha", 1)
	assert.NilError(t, err)
	return keys[0]
}

func TestResendGetsFirstAnswer(t *testing.T) {
	for _, through := range []string{"e1", "e2", "e3"} {
		t.Run(through, func(t *testing.T) {
			s := newSite(t)
			key := issue(t, s, "e1")
			s.lose(lossAnswer)
			_, err := s.engine("e2").Do(context.Background(), keyed("r1", key, "check", 1))
			assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
			s.lose(lossNone)
			a, err := s.engine(through).Do(context.Background(), keyed("r2", key, "check", 1))
			assert.NilError(t, err)
			assert.Equal(t, a.RequestID(), "r2")
			assert.Equal(t, string(a.Payload()), `{"echo":"check"}`)
			assert.Equal(t, s.startsOf("check"), 1)
		})
	}
}

func TestResendsAtTheSameTimeRunOnce(t *testing.T) {
	s := newSite(t)
	key := issue(t, s, "e2")
	answers := make(chan string, 30)
	for i := range 30 {
		through := fmt.Sprintf("e%d", i%3+1)
		s.group.Go("send", func(ctx context.Context) error {
			a, err := s.engine(through).Do(ctx, keyed(fmt.Sprint("r", i), key, "check", 50))
			answers <- string(a.Payload())
			return err
		})
	}
	for range 30 {
		assert.Equal(t, <-answers, `{"echo":"check"}`)
	}
	assert.Equal(t, s.startsOf("check"), 1)
}

func TestCallerLeavesAndAsksAgain(t *testing.T) {
	s := newSite(t)
	key := issue(t, s, "e1")
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.group.Go("send", func(context.Context) error {
		_, err := s.engine("e1").Do(ctx, keyed("r1", key, "check", 100))
		done <- err
		return nil
	})
	for s.startsOf("check") == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	assert.Equal(t, rock.VerdictOf(<-done), rock.MayHaveRun)
	a, err := s.engine("e2").Do(context.Background(), keyed("r2", key, "check", 100))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Payload()), `{"echo":"check"}`)
	assert.Equal(t, s.startsOf("check"), 1)
}

func TestKeyOfLostHomeIsNeverRunAgain(t *testing.T) {
	cases := map[string]struct {
		lose   func(s *site)
		reason rock.Reason
	}{
		"home killed":         {func(s *site) { s.kill("e1") }, rock.Unavailable},
		"home restarted":      {func(s *site) { s.restart("e1", "a") }, rock.Fenced},
		"home cut off":        {func(s *site) { s.lose(lossRequest) }, rock.Unavailable},
		"home without answer": {func(s *site) { s.lose(lossAnswer) }, rock.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			key := issue(t, s, "e1")
			_, err := s.engine("e1").Do(context.Background(), keyed("r1", key, "check", 1))
			assert.NilError(t, err)
			c.lose(s)
			for _, through := range []string{"e2", "e3"} {
				_, err = s.engine(through).Do(context.Background(), keyed("r2", key, "check", 1))
				assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
				assert.Equal(t, rock.ReasonOf(err), c.reason)
			}
			assert.Equal(t, s.startsOf("check"), 1)
		})
	}
}

func TestKeyIsRefused(t *testing.T) {
	cases := map[string]struct {
		key     func(t *testing.T, s *site) string
		reason  rock.Reason
		verdict rock.Verdict
	}{
		"forged": {func(t *testing.T, s *site) string { return issue(t, s, "e1") + "x" }, rock.BadInput, rock.NotRun},
		"cut":    {func(*testing.T, *site) string { return "key1~e1" }, rock.BadInput, rock.NotRun},
		"another organisation's": {func(t *testing.T, s *site) string {
			keys, _, err := s.engine("e1").IssueKeys(time.Now(), "beta", 1)
			assert.NilError(t, err)
			return keys[0]
		}, rock.BadInput, rock.NotRun},
		"expired": {func(t *testing.T, s *site) string {
			keys, _, err := s.engine("e1").IssueKeys(time.Now().Add(-10*time.Minute), "alpha", 1)
			assert.NilError(t, err)
			return keys[0]
		}, rock.Expired, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			_, err := s.engine("e2").Do(context.Background(), keyed("r1", c.key(t, s), "check", 1))
			assert.Equal(t, rock.ReasonOf(err), c.reason)
			assert.Equal(t, rock.VerdictOf(err), c.verdict)
			assert.Equal(t, s.startsOf("check"), 0)
		})
	}
}

func TestNotRunKeyMayBeSentAgain(t *testing.T) {
	s := newSite(t)
	key := issue(t, s, "e1")
	refuse := func(f work.Faults) {
		for _, host := range []string{"a0", "a1", "b0", "b1"} {
			s.work.Worker(host).SetFaults(f)
		}
	}
	refuse(work.Faults{Refuse: true})
	_, err := s.engine("e2").Do(context.Background(), keyed("r1", key, "check", 1))
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	refuse(work.Faults{})
	_, err = s.engine("e3").Do(context.Background(), keyed("r2", key, "check", 1))
	assert.NilError(t, err)
	assert.Equal(t, s.startsOf("check"), 1)
}

func TestStoppedHomeStatesItsKeys(t *testing.T) {
	platform := depot.New(depot.Settings{})
	cases := map[string]struct {
		gone func(s *site)
		down bool
		want rock.Verdict
	}{
		"home gone":      {func(s *site) { s.kill("e1") }, false, rock.NotRun},
		"home restarted": {func(s *site) { s.restart("e1", "a") }, false, rock.NotRun},
		"platform down":  {func(s *site) { s.kill("e1") }, true, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.objects = platform
			platform.SetFaults(depot.Faults{Down: c.down})
			s.restart("e1", "a")
			s.restart("e2", "a")
			sent, unsent := issue(t, s, "e1"), issue(t, s, "e1")
			_, err := s.engine("e2").Do(context.Background(), keyed("r1", sent, "sent", 1))
			assert.NilError(t, err)
			assert.Equal(t, s.engine("e1").Drain(context.Background()), 0)
			a, err := s.engine("e2").Do(context.Background(), keyed("r2", sent, "sent", 1))
			assert.NilError(t, err)
			assert.Equal(t, string(a.Payload()), `{"echo":"sent"}`)
			c.gone(s)
			_, err = s.engine("e2").Do(context.Background(), keyed("r3", sent, "sent", 1))
			assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
			_, err = s.engine("e2").Do(context.Background(), keyed("r4", unsent, "unsent", 1))
			assert.Equal(t, rock.VerdictOf(err), c.want)
			assert.Equal(t, s.startsOf("sent"), 1)
			assert.Equal(t, s.startsOf("unsent"), 0)
		})
	}
}

// schedule sends one request up to six times through random entries, while
// entries are restarted, links lose requests and answers, and targets break
// answers off. It returns the verdict of each send.
func schedule(s *site, random *rand.Rand, key, label string) []rock.Verdict {
	zones := map[string]string{"e1": "a", "e2": "a", "e3": "b"}
	losses := []loss{lossNone, lossNone, lossRequest, lossAnswer}
	var verdicts []rock.Verdict
	for i := range 2 + random.IntN(5) {
		s.lose(losses[random.IntN(len(losses))])
		if random.IntN(8) == 0 {
			name := fmt.Sprintf("e%d", 1+random.IntN(3))
			s.restart(name, zones[name])
		}
		for _, host := range []string{"a0", "a1", "b0", "b1"} {
			s.work.Worker(host).SetFaults(work.Faults{CutShort: random.IntN(4) == 0, Refuse: random.IntN(4) == 0})
		}
		through := fmt.Sprintf("e%d", 1+random.IntN(3))
		r := keyed(fmt.Sprint(label, ".", i), key, label, 0)
		arrived := time.Now()
		answer, err := s.engine(through).Do(context.Background(), r)
		s.note(r, label, through, arrived, answer, err)
		verdicts = append(verdicts, rock.VerdictOf(err))
		if err == nil && random.IntN(2) == 0 {
			break
		}
	}
	return verdicts
}

// TestSchedulesRunOnce checks two outcomes over 10,000 seeded schedules: a key
// is started at most once, and if every send was answered not_run it was not
// started at all. The first 1,000 of them without keys break the first.
func TestSchedulesRunOnce(t *testing.T) {
	t.Parallel()
	const seed = 4
	count := map[bool]int{true: 10_000, false: 1000}
	repeated := map[bool]int{}
	for _, withKey := range []bool{true, false} {
		s := newSite(t)
		random := rand.New(rand.NewPCG(seed, 0))
		for i := range count[withKey] {
			label, key := fmt.Sprint("check", i), ""
			if withKey {
				key = issue(t, s, fmt.Sprintf("e%d", 1+random.IntN(3)))
			}
			s.freshWorkers()
			verdicts := schedule(s, random, key, label)
			started := s.startsOf(label)
			if started > 1 {
				repeated[withKey]++
			}
			ran := false
			for _, v := range verdicts {
				ran = ran || v != rock.NotRun
			}
			assert.Assert(t, ran || started == 0, "seed %d schedule %d: all sends not_run, %d started", seed, i, started)
		}
	}
	t.Logf("seed %d: %d of %d repeated with keys, %d of %d without", seed, repeated[true], count[true], repeated[false], count[false])
	assert.Equal(t, repeated[true], 0)
	assert.Assert(t, repeated[false] > 0)
}
