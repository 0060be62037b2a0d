package door_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/door"
	"bramleyrock/io/logs"
	"bramleyrock/io/probl"

	"gotest.tools/v3/assert"
)

// startDoor returns a door that serves the handler until the test ends.
func startDoor(t *testing.T, limits door.Limits, handler http.HandlerFunc) *door.Door {
	t.Helper()
	d := door.New(door.Settings{Name: "test", Address: "127.0.0.1:0", Handler: handler, Limits: limits, Log: logs.Discard()})
	assert.NilError(t, d.Listen())
	g := group.New(context.Background())
	g.Go("serve", d.Serve)
	t.Cleanup(func() {
		assert.NilError(t, d.Close(context.Background()))
		assert.NilError(t, g.Wait())
	})
	return d
}

func TestLargeHeaderIsNotRun(t *testing.T) {
	d := startDoor(t, door.Limits{MaxHeaderBytes: 200}, func(http.ResponseWriter, *http.Request) {
		t.Error("handler was called")
	})
	r, err := http.NewRequest("GET", "http://"+d.Address(), nil)
	assert.NilError(t, err)
	r.Header.Set("X-Large", strings.Repeat("x", 300))
	resp, err := http.DefaultTransport.RoundTrip(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	err = probl.Read(resp)
	assert.Equal(t, rock.ReasonOf(err), rock.TooLarge)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestTooManyConnectionsIsNotRun(t *testing.T) {
	d := startDoor(t, door.Limits{MaxConnections: 1}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	first, err := net.Dial("tcp", d.Address())
	assert.NilError(t, err)
	defer first.Close()
	// The first connection is counted before a later one is accepted.
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.Address())
	assert.NilError(t, err)
	defer resp.Body.Close()
	err = probl.Read(resp)
	assert.Equal(t, rock.ReasonOf(err), rock.Overloaded)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

// TestSlowBodyTimesOut sends only a part of a body. Without the read timeout the
// handler would wait for the rest forever.
func TestSlowBodyTimesOut(t *testing.T) {
	failed := make(chan error, 1)
	d := startDoor(t, door.Limits{ReadTimeout: 50 * time.Millisecond}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
	})
	c, err := net.Dial("tcp", d.Address())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.ErrorContains(t, <-failed, "timeout")
}

// TestReadTimeoutDoesNotLimitHandler handles requests, with and without a body,
// for longer than the read timeout. A read deadline that is left on the
// connection would cancel them.
func TestReadTimeoutDoesNotLimitHandler(t *testing.T) {
	const readTimeout = 50 * time.Millisecond
	d := startDoor(t, door.Limits{ReadTimeout: readTimeout}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		select {
		case <-r.Context().Done():
			t.Error("the request was cancelled")
		case <-time.After(4 * readTimeout):
		}
		_, _ = io.WriteString(w, "whole")
	})
	for name, body := range map[string]io.Reader{"without a body": nil, "with a body": strings.NewReader("{}")} {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post("http://"+d.Address(), "application/json", body)
			assert.NilError(t, err)
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "whole")
		})
	}
}

func TestCloseWaitsForAnswer(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	d := door.New(door.Settings{Name: "test", Address: "127.0.0.1:0", Log: logs.Discard(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})})
	assert.NilError(t, d.Listen())
	g := group.New(context.Background())
	g.Go("serve", d.Serve)
	got := make(chan string, 1)
	g.Go("call", func(context.Context) error {
		resp, err := http.Get("http://" + d.Address())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		got <- string(body)
		return err
	})
	<-entered
	g.Go("close", func(ctx context.Context) error { return d.Close(ctx) })
	close(release)
	assert.NilError(t, g.Wait())
	assert.Equal(t, <-got, "whole")
}
