package route_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/config"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fill takes all eight slots of zone a with work of that length, through e1.
func (s *site) fill(work time.Duration) *group.Group {
	s.t.Helper()
	g := group.New(context.Background())
	for i := range 8 {
		g.Go("fill", func(ctx context.Context) error {
			_, err := s.engine("e1").Do(ctx, request(fmt.Sprint("fill", i), false, 20*time.Second, int(work.Milliseconds())))
			return err
		})
	}
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if n := s.engine("e1").Loads(time.Now())[0].InFlight(); n < 8 {
			return poll.Continue("%d slots are taken", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	return g
}

func TestCrowdedZoneForwards(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		loss loss
		zone string
	}{
		"peers reachable": {lossNone, "b"},
		"zones cut apart": {lossRequest, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.lose(c.loss)
			g := s.fill(300 * time.Millisecond)
			a, err := s.engine("e1").Do(context.Background(), request("next", false, 20*time.Second, 1))
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(a.Host(), c.zone), a.Host())
			assert.NilError(t, g.Wait())
		})
	}
}

func TestZoneWithoutOpenHostsForwards(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	fleet, _ := s.source.Fleet()
	s.source.Set(config.New(2, []rock.Pool{rock.NewPool("tins", "alpha", false)}, fleet.PoolHosts("tins", "b")))
	a, err := s.engine("e1").Do(context.Background(), request("r", false, 20*time.Second, 1))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(a.Host(), "b"), a.Host())
	s.lose(lossRequest)
	_, err = s.engine("e1").Do(context.Background(), request("cut", false, 20*time.Second, 1))
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, s.startsOf("cut"), 0)
}

func TestLostForwardMayHaveRun(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	g := s.fill(300 * time.Millisecond)
	s.lose(lossAnswer)
	_, err := s.engine("e1").Do(context.Background(), request("lost", false, 20*time.Second, 1))
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	assert.Equal(t, s.startsOf("lost"), 1)
	assert.NilError(t, g.Wait())
}

// TestQueuedRequestLeavesClosedZone closes the hosts of a zone while a request
// waits for one of them, behind long work.
func TestQueuedRequestLeavesClosedZone(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	g := s.fill(2 * time.Second)
	s.lose(lossRequest)
	answered := make(chan string, 1)
	s.group.Go("wait", func(ctx context.Context) error {
		a, err := s.engine("e1").Do(ctx, request("queued", false, 20*time.Second, 1))
		answered <- a.Host()
		return err
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.engine("e1").Loads(time.Now())[0].Queued(); n == 0 {
			return poll.Continue("nothing is queued")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	s.lose(lossNone)
	fleet, _ := s.source.Fleet()
	s.source.Set(config.New(2, []rock.Pool{rock.NewPool("tins", "alpha", false)}, fleet.PoolHosts("tins", "b")))
	host := <-answered
	assert.Assert(t, strings.HasPrefix(host, "b"), host)
	assert.NilError(t, g.Wait())
	assert.Equal(t, s.startsOf("queued"), 1)
}
