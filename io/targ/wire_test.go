package targ_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"time"

	"bramleyrock/core/group"
)

// wireFault is what happens to one call on a wire.
type wireFault string

const (
	faultNone      wireFault = "none"
	faultRefused   wireFault = "connection refused"
	faultCallReset wireFault = "call lost, connection reset"
	faultCallLost  wireFault = "call lost, silent for good"
	faultCallLate  wireFault = "call late"
	faultCallTwice wireFault = "call duplicated"
	faultReset     wireFault = "answer lost, connection reset"
	faultSilent    wireFault = "answer lost, silent for good"
	faultLate      wireFault = "answer late"
	faultCut       wireFault = "answer cut short"
	faultSwapped   wireFault = "answer of another call"
)

func wireFaults() []wireFault {
	return []wireFault{
		faultRefused, faultCallReset, faultCallLost, faultCallLate, faultCallTwice,
		faultReset, faultSilent, faultLate, faultCut, faultSwapped,
	}
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// delivery is what a handler answered. It does not change.
type delivery struct {
	status int
	header http.Header
	body   []byte
}

// response returns a response of its own, whose body is followed by rest.
func (d *delivery) response(body []byte, rest io.Reader) *http.Response {
	return &http.Response{
		StatusCode: d.status,
		Header:     d.header.Clone(),
		Body:       io.NopCloser(io.MultiReader(bytes.NewReader(body), rest)),
	}
}

// wire carries calls to handlers by address, in memory, and breaks a share of
// them. A call may arrive long after its sender gave up.
type wire struct {
	handlers map[string]http.Handler
	duties   *group.Group
	share    float64
	// only is the one fault that is made, if it is set.
	only wireFault
	// maxLate is the longest delay of a call or an answer.
	maxLate time.Duration

	mu     sync.Mutex
	random *rand.Rand
	last   *delivery
}

// draw returns the fate of the next call.
func (w *wire) draw() (wireFault, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := time.Duration(w.random.Int64N(int64(w.maxLate)))
	if w.random.Float64() >= w.share {
		return faultNone, late
	}
	if w.only != "" {
		return w.only, late
	}
	all := wireFaults()
	return all[w.random.IntN(len(all))], late
}

// RoundTrip implements [http.RoundTripper].
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	body := []byte{}
	if r.Body != nil {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = data
	}
	ctx := r.Context()
	fault, late := w.draw()
	if fault == faultRefused {
		return nil, errRefused
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	switch fault {
	case faultCallReset:
		return nil, errReset
	case faultCallLost:
		<-ctx.Done()
		return nil, ctx.Err()
	case faultCallTwice:
		w.deliver(r, body, late)
	}
	arrival := time.Duration(0)
	if fault == faultCallLate {
		arrival = late
	}
	resp, err := w.await(ctx, w.deliver(r, body, arrival))
	if err != nil {
		return nil, err
	}
	return w.spoil(ctx, resp, fault, late)
}

// deliver hands the call to its handler after a delay, whether or not its
// sender still waits then.
func (w *wire) deliver(r *http.Request, body []byte, late time.Duration) <-chan *delivery {
	answers := make(chan *delivery, 1)
	w.duties.Go("deliver", func(ctx context.Context) error {
		if wait(ctx, late) != nil {
			return nil
		}
		defer close(answers)
		defer func() {
			if failed := recover(); failed != nil && failed != http.ErrAbortHandler {
				panic(failed)
			}
		}()
		c := r.Clone(ctx)
		c.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		w.handlers[r.URL.Host].ServeHTTP(answer, c)
		answers <- &delivery{answer.Code, answer.Header(), answer.Body.Bytes()}
		return nil
	})
	return answers
}

// wait returns nil after the duration, or an error if ctx ends before. It makes no
// timer that is due at once: in a bubble, goroutines run those of each other side by
// side, which the race detector of Go 1.26 does not survive.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await waits for the handler's answer.
func (w *wire) await(ctx context.Context, answers <-chan *delivery) (*delivery, error) {
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, errReset
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// spoil hands out the answer, unless the fault hits it.
func (w *wire) spoil(ctx context.Context, answer *delivery, fault wireFault, late time.Duration) (*http.Response, error) {
	w.mu.Lock()
	other := w.last
	w.last = answer
	w.mu.Unlock()
	switch fault {
	case faultReset:
		return nil, errReset
	case faultSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case faultLate:
		if err := wait(ctx, late); err != nil {
			return nil, err
		}
	case faultSwapped:
		if other != nil {
			return other.response(other.body, http.NoBody), nil
		}
	case faultCut:
		return answer.response(answer.body[:len(answer.body)/2], brokenReader{}), nil
	}
	return answer.response(answer.body, http.NoBody), nil
}

// brokenReader is a body that broke off.
type brokenReader struct{}

// Read implements [io.Reader].
func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
