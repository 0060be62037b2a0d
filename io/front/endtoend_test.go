package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/front"
	"bramleyrock/io/route"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

// endToEnd holds the API for callers with an engine, and a target that it
// calls over HTTP.
type endToEnd struct {
	entry  string // URL of the pool's requests
	target string // URL of the target
	client *http.Client
	ids    atomic.Int64
}

func newEndToEnd(tb testing.TB) *endToEnd {
	tb.Helper()
	worker := work.New(work.Settings{Name: "h1", Slots: 256, Retain: time.Second})
	target := httptest.NewServer(worker.Handler())
	tb.Cleanup(target.Close)
	host := rock.NewHost(rock.HostSpec{Name: "h1", Address: strings.TrimPrefix(target.URL, "http://"), Zone: "a", Pool: "tins", Generation: 1, Slots: 256, Open: true})
	fleet := config.New(1, []rock.Pool{rock.NewPool("tins", "alpha", false)}, []rock.Host{host})
	fleet.Admit("good", rock.NewIdentity("line-4", "alpha", rock.CallerRole))
	source := config.NewSource(fleet)
	targets := targ.New(targ.Settings{PerHost: 256})
	tb.Cleanup(targets.Close)
	tasks := group.New(context.Background())
	tb.Cleanup(func() {
		tasks.Stop()
		assert.NilError(tb, tasks.Wait())
	})
	engine := route.New(route.Settings{Member: rock.NewMember("e1", "a", "", "i1"), Fleet: source, Target: targets, Group: tasks})
	entry := httptest.NewServer(front.New(front.Settings{Runner: engine, Keys: engine, Fleet: source}))
	tb.Cleanup(entry.Close)
	return &endToEnd{
		entry:  entry.URL + "/v1/pools/tins/requests",
		target: target.URL + "/run",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// post sends a body and reads the response to its end.
func (w *endToEnd) post(url string, body []byte) error {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer good")
	r.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %s", resp.Status, answer)
	}
	return err
}

// sendToTarget sends a task to the target directly, as an entry would.
func (w *endToEnd) sendToTarget() error {
	task := rock.NewTask(fmt.Sprint("t", w.ids.Add(1)), "tins", 1, time.Minute, time.Now().Add(time.Minute), []byte(`{"work_ms":0,"line":4}`))
	body, err := json.Marshal(targ.FromTask(task))
	if err != nil {
		return err
	}
	return w.post(w.target, body)
}

// sendToEntry sends a request to the entry, which runs it on the target.
func (w *endToEnd) sendToEntry() error {
	return w.post(w.entry, []byte(`{"payload":{"work_ms":0,"line":4},"timeout_ms":60000,"idempotent":true}`))
}

// processorTime returns the user and system CPU time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkWhole compares a request through an entry with the same request sent
// directly to the target, with four concurrent callers. Callers, entry and
// target run in one process.
func BenchmarkWhole(b *testing.B) {
	w := newEndToEnd(b)
	for name, send := range map[string]func() error{"straight": w.sendToTarget, "through": w.sendToEntry} {
		b.Run(name, func(b *testing.B) {
			const callers = 4
			latencies := make([][]time.Duration, callers)
			before := processorTime(b)
			g := group.New(context.Background())
			b.ReportAllocs()
			b.ResetTimer()
			for i := range callers {
				g.Go("caller", func(context.Context) error {
					for range b.N/callers + 1 {
						begin := time.Now()
						if err := send(); err != nil {
							return err
						}
						latencies[i] = append(latencies[i], time.Since(begin))
					}
					return nil
				})
			}
			assert.NilError(b, g.Wait())
			all := slices.Concat(latencies...)
			slices.Sort(all)
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(len(all)), "cpu_us/op")
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50_us")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99_us")
		})
	}
}

func TestRequestEndToEnd(t *testing.T) {
	w := newEndToEnd(t)
	assert.NilError(t, w.sendToTarget())
	assert.NilError(t, w.sendToEntry())
}
