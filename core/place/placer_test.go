package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/place"
	"bramleyrock/io/fakes/config"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// hosts returns n open hosts of a pool in zone a, each changed by the function if it is
// not nil.
func hosts(n int, pool string, change func(i int, s *rock.HostSpec)) []rock.Host {
	var list []rock.Host
	for i := range n {
		s := rock.HostSpec{Name: fmt.Sprintf("h%d", i), Zone: "a", Pool: pool, Slots: 4, Open: true}
		if change != nil {
			change(i, &s)
		}
		list = append(list, rock.NewHost(s))
	}
	return list
}

func fleet(revision rock.Revision, list []rock.Host) *config.Fleet {
	return config.New(revision, []rock.Pool{rock.NewPool("tins", "alpha", false), rock.NewPool("lids", "beta", false)}, list)
}

func placer(policy place.Policy) *place.Placer {
	return place.New(place.Settings{Zone: "a", Random: rand.New(rand.NewPCG(1, 2)), Policy: policy})
}

func TestChooseFillsEverySlotOnce(t *testing.T) {
	for _, policy := range []place.Policy{place.TwoChoices, place.Random, place.RoundRobin, place.LeastInFlight} {
		t.Run(string(policy), func(t *testing.T) {
			p := placer(policy)
			p.Update(start, fleet(1, hosts(3, "tins", nil)))
			for range 12 {
				_, err := p.Choose(start, "tins", nil)
				assert.NilError(t, err)
			}
			_, err := p.Choose(start, "tins", nil)
			assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
			for _, name := range []string{"h0", "h1", "h2"} {
				assert.Equal(t, p.InFlight(name), 4)
			}
			p.Done(start, "h1", time.Second, nil)
			h, err := p.Choose(start, "tins", nil)
			assert.NilError(t, err)
			assert.Equal(t, h.Name(), "h1")
		})
	}
}

func TestChooseRefuses(t *testing.T) {
	cases := map[string]struct {
		change func(i int, s *rock.HostSpec)
		pool   string
	}{
		"other pool's hosts":  {nil, "lids"},
		"unknown pool":        {nil, "none"},
		"closed hosts":        {func(_ int, s *rock.HostSpec) { s.Open = false }, "tins"},
		"other zone's hosts":  {func(_ int, s *rock.HostSpec) { s.Zone = "b" }, "tins"},
		"hosts without slots": {func(_ int, s *rock.HostSpec) { s.Slots = 0 }, "tins"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := placer("")
			p.Update(start, fleet(1, hosts(3, "tins", c.change)))
			_, err := p.Choose(start, c.pool, nil)
			assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}

func TestChooseAvoidsTriedHosts(t *testing.T) {
	p := placer("")
	p.Update(start, fleet(1, hosts(3, "tins", nil)))
	for range 4 {
		h, err := p.Choose(start, "tins", []string{"h0", "h2"})
		assert.NilError(t, err)
		assert.Equal(t, h.Name(), "h1")
	}
	_, err := p.Choose(start, "tins", []string{"h0", "h2"})
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
}

// Tasks in flight stay counted when their host is closed and when it leaves its pool. An
// older configuration is ignored.
func TestUpdateKeepsCounts(t *testing.T) {
	p := placer("")
	p.Update(start, fleet(1, hosts(1, "tins", nil)))
	_, err := p.Choose(start, "tins", nil)
	assert.NilError(t, err)
	closed := hosts(2, "tins", func(_ int, s *rock.HostSpec) { s.Open = false })
	p.Update(start, fleet(2, closed))
	assert.DeepEqual(t, p.InFlightOnClosed(), map[string]int{"h0": 1, "h1": 0})
	p.Update(start, fleet(1, hosts(1, "tins", nil)))
	assert.Equal(t, p.Revision(), rock.Revision(2))
	p.Update(start, fleet(3, nil))
	assert.Equal(t, p.InFlight("h0"), 1)
	p.Done(start, "h0", time.Second, nil)
	assert.Equal(t, p.InFlight("h0"), 0)
}

// A host that refused a task for lack of a slot gets no other task for 100 ms.
func TestOverloadedHostIsInBackoff(t *testing.T) {
	p := placer("")
	p.Update(start, fleet(1, hosts(1, "tins", nil)))
	_, err := p.Choose(start, "tins", nil)
	assert.NilError(t, err)
	p.Done(start, "h0", 0, rock.Fail("start", "h0", rock.Overloaded, rock.NotRun))
	_, err = p.Choose(start.Add(99*time.Millisecond), "tins", nil)
	assert.Equal(t, rock.ReasonOf(err), rock.NoHost)
	_, err = p.Choose(start.Add(100*time.Millisecond), "tins", nil)
	assert.NilError(t, err)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			p := placer("")
			p.Update(start, fleet(1, hosts(n, "tins", nil)))
			b.ReportAllocs()
			for b.Loop() {
				h, err := p.Choose(start, "tins", nil)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(start, h.Name(), time.Millisecond, nil)
			}
		})
	}
}
