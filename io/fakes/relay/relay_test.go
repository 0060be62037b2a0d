package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyrock/io/fakes/relay"

	"gotest.tools/v3/assert"
)

// join returns a relay to a server that answers "hello".
func join(t *testing.T) *relay.Relay {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	}))
	t.Cleanup(s.Close)
	r, err := relay.New(strings.TrimPrefix(s.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

// get asks over a new connection, for at most the duration.
func get(r *relay.Relay, limit time.Duration) (string, error) {
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.Address())
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestSwitches(t *testing.T) {
	const long, short = 10 * time.Second, 100 * time.Millisecond
	tests := map[string]struct {
		set   func(r *relay.Relay)
		limit time.Duration
		fails bool
	}{
		"none":          {func(*relay.Relay) {}, long, false},
		"stall answers": {func(r *relay.Relay) { r.Set(relay.Answers, relay.Stall) }, short, true},
		"drop calls":    {func(r *relay.Relay) { r.Set(relay.Calls, relay.Drop) }, short, true},
		"refuse":        {func(r *relay.Relay) { r.Refuse(true) }, long, true},
		"cut in answer": {func(r *relay.Relay) { r.CutAfter(relay.Answers, 20) }, long, true},
		"cut in call":   {func(r *relay.Relay) { r.CutAfter(relay.Calls, 20) }, long, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := join(t)
			test.set(r)
			_, err := get(r, test.limit)
			assert.Equal(t, err != nil, test.fails, "%v", err)
			r.Set(relay.Answers, relay.Pass)
			r.Set(relay.Calls, relay.Pass)
			r.Refuse(false)
			r.CutAfter(relay.Answers, -1)
			r.CutAfter(relay.Calls, -1)
			body, err := get(r, long)
			assert.NilError(t, err)
			assert.Equal(t, body, "hello")
		})
	}
}

func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	r := join(t)
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	defer c.Close()
	answer := make([]byte, 1)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadFull(c, answer)
	assert.NilError(t, err)
	r.Silence()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	body, err := get(r, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
	r.Cut()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadAll(c)
	assert.Assert(t, err == nil || !err.(net.Error).Timeout(), "cut breaks silent connections too")
}
