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

// keyedRequest returns a request that is not idempotent and has an idempotency
// key. The workers record its runs under label.
func keyedRequest(id, key, label string, workMS int) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID: id, Organisation: "alpha", Pool: "tins", IdempotencyKey: key, Deadline: time.Now().Add(10 * time.Second),
		Payload: json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"echo":%q,"key":%q}`, workMS, label, label)),
	})
}

// issueKey returns a key that the entry issues.
func issueKey(t *testing.T, s *cluster, entry string) string {
	t.Helper()
	keys, _, err := s.engine(entry).IssueKeys(time.Now(), "alpha", 1)
	assert.NilError(t, err)
	return keys[0]
}

// TestResendGetsFirstAnswer loses the answer of a request and sends it again
// through each entry. The second send must get the recorded answer, not a new
// run.
func TestResendGetsFirstAnswer(t *testing.T) {
	for _, via := range []string{"e1", "e2", "e3"} {
		t.Run(via, func(t *testing.T) {
			s := newCluster(t)
			key := issueKey(t, s, "e1")
			s.setLinkFault(answersLost)
			_, err := s.engine("e2").Do(context.Background(), keyedRequest("r1", key, "check", 1))
			assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
			s.setLinkFault(linkUp)
			a, err := s.engine(via).Do(context.Background(), keyedRequest("r2", key, "check", 1))
			assert.NilError(t, err)
			assert.Equal(t, a.RequestID(), "r2")
			assert.Equal(t, string(a.Payload()), `{"echo":"check"}`)
			assert.Equal(t, s.countStarts("check"), 1)
		})
	}
}

func TestResendsAtTheSameTimeRunOnce(t *testing.T) {
	s := newCluster(t)
	key := issueKey(t, s, "e2")
	answers := make(chan string, 30)
	for i := range 30 {
		via := fmt.Sprintf("e%d", i%3+1)
		s.group.Go("send", func(ctx context.Context) error {
			a, err := s.engine(via).Do(ctx, keyedRequest(fmt.Sprint("r", i), key, "check", 50))
			answers <- string(a.Payload())
			return err
		})
	}
	for range 30 {
		assert.Equal(t, <-answers, `{"echo":"check"}`)
	}
	assert.Equal(t, s.countStarts("check"), 1)
}

func TestDisconnectedCallerGetsAnswerOnResend(t *testing.T) {
	s := newCluster(t)
	key := issueKey(t, s, "e1")
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.group.Go("send", func(context.Context) error {
		_, err := s.engine("e1").Do(ctx, keyedRequest("r1", key, "check", 100))
		done <- err
		return nil
	})
	for s.countStarts("check") == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	assert.Equal(t, rock.VerdictOf(<-done), rock.MayHaveRun)
	a, err := s.engine("e2").Do(context.Background(), keyedRequest("r2", key, "check", 100))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Payload()), `{"echo":"check"}`)
	assert.Equal(t, s.countStarts("check"), 1)
}

// TestKeyOfLostIssuerIsNotRunAgain sends a request again through other entries
// after the issuer of its key was lost. They cannot know whether it ran, so a
// new run could be the second one.
func TestKeyOfLostIssuerIsNotRunAgain(t *testing.T) {
	cases := map[string]struct {
		fail   func(s *cluster)
		reason rock.Reason
	}{
		"issuer killed":         {func(s *cluster) { s.kill("e1") }, rock.Unavailable},
		"issuer restarted":      {func(s *cluster) { s.restart("e1", "a") }, rock.Fenced},
		"issuer cut off":        {func(s *cluster) { s.setLinkFault(requestsLost) }, rock.Unavailable},
		"issuer without answer": {func(s *cluster) { s.setLinkFault(answersLost) }, rock.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			key := issueKey(t, s, "e1")
			_, err := s.engine("e1").Do(context.Background(), keyedRequest("r1", key, "check", 1))
			assert.NilError(t, err)
			c.fail(s)
			for _, via := range []string{"e2", "e3"} {
				_, err = s.engine(via).Do(context.Background(), keyedRequest("r2", key, "check", 1))
				assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
				assert.Equal(t, rock.ReasonOf(err), c.reason)
			}
			assert.Equal(t, s.countStarts("check"), 1)
		})
	}
}

func TestKeyIsRefused(t *testing.T) {
	cases := map[string]struct {
		key     func(t *testing.T, s *cluster) string
		reason  rock.Reason
		verdict rock.Verdict
	}{
		"forged": {func(t *testing.T, s *cluster) string { return issueKey(t, s, "e1") + "x" }, rock.BadInput, rock.NotRun},
		"cut":    {func(*testing.T, *cluster) string { return "key1~e1" }, rock.BadInput, rock.NotRun},
		"another organisation's": {func(t *testing.T, s *cluster) string {
			keys, _, err := s.engine("e1").IssueKeys(time.Now(), "beta", 1)
			assert.NilError(t, err)
			return keys[0]
		}, rock.BadInput, rock.NotRun},
		"expired": {func(t *testing.T, s *cluster) string {
			keys, _, err := s.engine("e1").IssueKeys(time.Now().Add(-10*time.Minute), "alpha", 1)
			assert.NilError(t, err)
			return keys[0]
		}, rock.Expired, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			_, err := s.engine("e2").Do(context.Background(), keyedRequest("r1", c.key(t, s), "check", 1))
			assert.Equal(t, rock.ReasonOf(err), c.reason)
			assert.Equal(t, rock.VerdictOf(err), c.verdict)
			assert.Equal(t, s.countStarts("check"), 0)
		})
	}
}

func TestNotRunKeyMayBeSentAgain(t *testing.T) {
	s := newCluster(t)
	key := issueKey(t, s, "e1")
	refuse := func(f work.Faults) {
		for _, host := range []string{"a0", "a1", "b0", "b1"} {
			s.work.Worker(host).SetFaults(f)
		}
	}
	refuse(work.Faults{Refuse: true})
	_, err := s.engine("e2").Do(context.Background(), keyedRequest("r1", key, "check", 1))
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	refuse(work.Faults{})
	_, err = s.engine("e3").Do(context.Background(), keyedRequest("r2", key, "check", 1))
	assert.NilError(t, err)
	assert.Equal(t, s.countStarts("check"), 1)
}

// TestStoppedIssuerStoresClosingRecord checks that after the issuer was drained
// and has gone, an unused key is refused as not_run and a used one is not. If the
// platform is down, both are answered may_have_run.
func TestStoppedIssuerStoresClosingRecord(t *testing.T) {
	platform := depot.New(depot.Settings{})
	cases := map[string]struct {
		stop func(s *cluster)
		down bool
		want rock.Verdict
	}{
		"issuer gone":      {func(s *cluster) { s.kill("e1") }, false, rock.NotRun},
		"issuer restarted": {func(s *cluster) { s.restart("e1", "a") }, false, rock.NotRun},
		"platform down":    {func(s *cluster) { s.kill("e1") }, true, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.objects = platform
			platform.SetFaults(depot.Faults{Down: c.down})
			s.restart("e1", "a")
			s.restart("e2", "a")
			sent, unsent := issueKey(t, s, "e1"), issueKey(t, s, "e1")
			_, err := s.engine("e2").Do(context.Background(), keyedRequest("r1", sent, "sent", 1))
			assert.NilError(t, err)
			assert.Equal(t, s.engine("e1").Drain(context.Background()), 0)
			a, err := s.engine("e2").Do(context.Background(), keyedRequest("r2", sent, "sent", 1))
			assert.NilError(t, err)
			assert.Equal(t, string(a.Payload()), `{"echo":"sent"}`)
			c.stop(s)
			_, err = s.engine("e2").Do(context.Background(), keyedRequest("r3", sent, "sent", 1))
			assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
			_, err = s.engine("e2").Do(context.Background(), keyedRequest("r4", unsent, "unsent", 1))
			assert.Equal(t, rock.VerdictOf(err), c.want)
			assert.Equal(t, s.countStarts("sent"), 1)
			assert.Equal(t, s.countStarts("unsent"), 0)
		})
	}
}

// runSchedule sends one request up to six times through random entries, while
// entries are restarted, links lose requests and answers, and workers refuse
// tasks or truncate answers. It returns the verdict of each send.
func runSchedule(s *cluster, random *rand.Rand, key, label string) []rock.Verdict {
	zones := map[string]string{"e1": "a", "e2": "a", "e3": "b"}
	faults := []linkFault{linkUp, linkUp, requestsLost, answersLost}
	var verdicts []rock.Verdict
	for i := range 2 + random.IntN(5) {
		s.setLinkFault(faults[random.IntN(len(faults))])
		if random.IntN(8) == 0 {
			name := fmt.Sprintf("e%d", 1+random.IntN(3))
			s.restart(name, zones[name])
		}
		for _, host := range []string{"a0", "a1", "b0", "b1"} {
			s.work.Worker(host).SetFaults(work.Faults{CutShort: random.IntN(4) == 0, Refuse: random.IntN(4) == 0})
		}
		via := fmt.Sprintf("e%d", 1+random.IntN(3))
		r := keyedRequest(fmt.Sprint(label, ".", i), key, label, 0)
		arrived := time.Now()
		answer, err := s.engine(via).Do(context.Background(), r)
		s.recordSend(r, label, via, arrived, answer, err)
		verdicts = append(verdicts, rock.VerdictOf(err))
		if err == nil && random.IntN(2) == 0 {
			break
		}
	}
	return verdicts
}

// TestRandomSchedulesRunOnce checks two outcomes over 10,000 seeded schedules: a
// request with a key is started at most once, and if every send was answered
// not_run, it was not started. In 1,000 schedules without keys the first outcome
// must be violated, which shows that the schedules can cause repeated runs.
func TestRandomSchedulesRunOnce(t *testing.T) {
	t.Parallel()
	const seed = 4
	count := map[bool]int{true: 10_000, false: 1000}
	repeated := map[bool]int{}
	for _, withKey := range []bool{true, false} {
		s := newCluster(t)
		random := rand.New(rand.NewPCG(seed, 0))
		for i := range count[withKey] {
			label, key := fmt.Sprint("check", i), ""
			if withKey {
				key = issueKey(t, s, fmt.Sprintf("e%d", 1+random.IntN(3)))
			}
			s.replaceWorkers()
			verdicts := runSchedule(s, random, key, label)
			started := s.countStarts(label)
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
