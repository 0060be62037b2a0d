package link

import (
	"testing"
	"time"

	rock "bramleyrock"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var beatMember = rock.NewMember("e2", "b", "127.0.0.1:1", "1")

func beatOf(loads ...rock.PoolLoad) rock.Heartbeat {
	return rock.NewHeartbeat(beatMember, 1, false, loads)
}

func TestHeartbeatCarriesOnlyWhatChanged(t *testing.T) {
	load := func(pool string, inFlight, queued, slots int, wait time.Duration) rock.PoolLoad {
		return rock.NewPoolLoad(pool, inFlight, queued, slots, wait)
	}
	first := []rock.PoolLoad{load("lids", 20, 0, 40, 0), load("tins", 20, 10, 40, time.Second)}
	cases := map[string]struct {
		next []rock.PoolLoad
		want int
	}{
		"nothing":          {first, 0},
		"a little":         {[]rock.PoolLoad{load("lids", 21, 0, 40, 0), load("tins", 20, 11, 40, 1050*time.Millisecond)}, 0},
		"a lot":            {[]rock.PoolLoad{load("lids", 31, 0, 40, 0), load("tins", 20, 10, 40, time.Second)}, 1},
		"a wait begins":    {[]rock.PoolLoad{load("lids", 20, 1, 40, 1*time.Millisecond), load("tins", 20, 10, 40, time.Second)}, 1},
		"a wait ends":      {[]rock.PoolLoad{load("lids", 20, 0, 40, 0), load("tins", 20, 10, 40, 0)}, 1},
		"a slot is closed": {[]rock.PoolLoad{load("lids", 20, 0, 39, 0), load("tins", 20, 10, 40, time.Second)}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s beatSender
			assert.Equal(t, len(s.encode(beatOf(first...), false).Pools), 2)
			assert.Equal(t, len(s.encode(beatOf(c.next...), false).Pools), c.want)
		})
	}
}

// TestHeartbeatsStayNearTheTruth sends random loads and loses some heartbeats.
func TestHeartbeatsStayNearTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s beatSender
		var r beatReader
		unsure := false
		for id := uint64(1); id < 30; id++ {
			var loads []rock.PoolLoad
			for _, pool := range []string{"lids", "tins"} {
				if rapid.Bool().Draw(rt, "has "+pool) {
					loads = append(loads, rock.NewPoolLoad(pool, rapid.IntRange(0, 40).Draw(rt, "in flight"), 0, 40, 0))
				}
			}
			f := s.encode(beatOf(loads...), unsure)
			unsure = rapid.IntRange(0, 4).Draw(rt, "lost") == 0
			if unsure {
				continue
			}
			got, newest := r.decode(id, f, beatMember)
			assert.Assert(rt, newest)
			assert.Equal(rt, len(got.Pools()), len(loads))
			for i, l := range got.Pools() {
				assert.Equal(rt, l.Pool(), loads[i].Pool())
				assert.Assert(rt, apart(int64(l.InFlight()), int64(loads[i].InFlight())) <= 40/tolerance)
			}
		}
	})
}

func TestOlderHeartbeatIsNotRead(t *testing.T) {
	var r beatReader
	_, newest := r.decode(2, beatForm{}, beatMember)
	assert.Assert(t, newest)
	_, newest = r.decode(1, beatForm{}, beatMember)
	assert.Assert(t, !newest)
}
