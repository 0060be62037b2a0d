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

// fillZone occupies all eight slots of zone a with tasks of that length, sent
// through e1. It returns the group of their callers.
func (s *cluster) fillZone(work time.Duration) *group.Group {
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
			return poll.Continue("%d slots are in use", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	return g
}

func TestBusyZoneForwards(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		loss linkFault
		zone string
	}{
		"peers reachable": {linkUp, "b"},
		"zones cut apart": {requestsLost, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.setLinkFault(c.loss)
			g := s.fillZone(300 * time.Millisecond)
			a, err := s.engine("e1").Do(context.Background(), request("next", false, 20*time.Second, 1))
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(a.Host(), c.zone), a.Host())
			assert.NilError(t, g.Wait())
		})
	}
}

func TestZoneWithoutOpenHostsForwards(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	fleet, _ := s.source.Fleet()
	s.source.Set(config.New(2, []rock.Pool{rock.NewPool("tins", "alpha", false)}, fleet.PoolHosts("tins", "b")))
	a, err := s.engine("e1").Do(context.Background(), request("r", false, 20*time.Second, 1))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(a.Host(), "b"), a.Host())
	s.setLinkFault(requestsLost)
	_, err = s.engine("e1").Do(context.Background(), request("cut", false, 20*time.Second, 1))
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, s.countStarts("cut"), 0)
}

func TestLostForwardMayHaveRun(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	g := s.fillZone(300 * time.Millisecond)
	s.setLinkFault(answersLost)
	_, err := s.engine("e1").Do(context.Background(), request("lost", false, 20*time.Second, 1))
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	assert.Equal(t, s.countStarts("lost"), 1)
	assert.NilError(t, g.Wait())
}

// TestQueuedRequestIsForwardedWhenZoneCloses closes the hosts of a zone while a
// request waits for one of them behind long tasks. The request must be forwarded
// to the other zone instead of waiting until its deadline.
func TestQueuedRequestIsForwardedWhenZoneCloses(t *testing.T) {
	t.Parallel()
	s := newCluster(t)
	g := s.fillZone(2 * time.Second)
	s.setLinkFault(requestsLost)
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
	s.setLinkFault(linkUp)
	fleet, _ := s.source.Fleet()
	s.source.Set(config.New(2, []rock.Pool{rock.NewPool("tins", "alpha", false)}, fleet.PoolHosts("tins", "b")))
	host := <-answered
	assert.Assert(t, strings.HasPrefix(host, "b"), host)
	assert.NilError(t, g.Wait())
	assert.Equal(t, s.countStarts("queued"), 1)
}
