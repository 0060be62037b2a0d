package link_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/link"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestCallsBetweenTwoEntries(t *testing.T) {
	b := startEntry(t, entrySpec{name: "e2", zone: "b"})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	p := a.peer(t, "e2")

	answer, err := p.Forward(context.Background(), request("r1"))
	assert.NilError(t, err)
	assert.Equal(t, answer.RequestID(), "r1")
	assert.Equal(t, answer.Host(), "h1")
	assert.Equal(t, string(answer.Payload()), `{"n":1}`)

	changes, err := p.Changes(context.Background(), 4, 10)
	assert.NilError(t, err)
	assert.Equal(t, changes[0].Revision(), rock.Revision(5))
	assert.Equal(t, string(changes[0].Edits()[0].To().Body()), `{"spare":true}`)
	_, err = p.Changes(context.Background(), 0, 10)
	assert.Equal(t, rock.ReasonOf(err), rock.NotFound)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)

	revision, records, err := p.Snapshot(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, revision, rock.Revision(7))
	assert.Equal(t, records[0].Key().String(), "pool/tins")

	assert.Equal(t, b.peer(t, "e1").Member(), a.member, "the peer that dialled is not known")
}

func TestManyCallsShareALink(t *testing.T) {
	b := startEntry(t, entrySpec{name: "e2"})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	p := a.peer(t, "e2")
	g := group.New(context.Background())
	for i := range 200 {
		id := "r" + strings.Repeat("x", i)
		g.Go(id, func(ctx context.Context) error {
			answer, err := p.Forward(ctx, request(id))
			if err == nil && answer.RequestID() != id {
				err = errors.New("answer of another request")
			}
			return err
		})
	}
	assert.NilError(t, g.Wait())
}

func TestForwardCarriesDeadlineHopAndVerdict(t *testing.T) {
	var mu sync.Mutex
	var seen rock.Request
	b := startEntry(t, entrySpec{name: "e2", forward: func(_ context.Context, r rock.Request) (rock.Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		seen = r
		return rock.Answer{}, rock.Fail("admit", "pool tins", rock.Overloaded, rock.NotRun).RetryIn(2 * time.Second).Becausef("full")
	}})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	r := request("r1")
	_, err := a.peer(t, "e2").Forward(context.Background(), r)
	var f *rock.Failure
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, f.Verdict(), rock.NotRun)
	assert.Equal(t, f.Reason(), rock.Overloaded)
	assert.Equal(t, f.RetryAfter(), 2*time.Second)
	assert.ErrorContains(t, err, "full")
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, seen.Hops(), 1)
	assert.Assert(t, !seen.Deadline().After(r.Deadline().Add(time.Second)))
}

func TestVerdictWhenTheAnswerIsLost(t *testing.T) {
	t.Parallel()
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	b := startEntry(t, entrySpec{name: "e2", forward: func(_ context.Context, r rock.Request) (rock.Answer, error) {
		started <- struct{}{}
		<-release
		return rock.NewAnswer(r.ID(), "h1", nil), nil
	}})
	defer close(release)
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	p := a.peer(t, "e2")

	t.Run("the caller leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		g := group.New(context.Background())
		g.Go("leave", func(context.Context) error { <-started; cancel(); return nil })
		_, err := p.Forward(ctx, request("r1"))
		assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
		assert.Equal(t, rock.ReasonOf(err), rock.Cancelled)
	})
	t.Run("the peer dies", func(t *testing.T) {
		g := group.New(context.Background())
		g.Go("die", func(context.Context) error { <-started; b.stop(); return nil })
		_, err := p.Forward(context.Background(), request("r2"))
		assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
		assert.NilError(t, g.Wait())
	})
	t.Run("there is no link", func(t *testing.T) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, err := p.Forward(context.Background(), request("r3"))
			if rock.VerdictOf(err) == rock.NotRun && rock.ReasonOf(err) == rock.Unavailable {
				return poll.Success()
			}
			return poll.Continue("got %v", err)
		}, poll.WithTimeout(20*time.Second))
	})
}

func TestLimits(t *testing.T) {
	started := make(chan struct{}, 2)
	release := make(chan struct{})
	b := startEntry(t, entrySpec{name: "e2", forward: func(_ context.Context, r rock.Request) (rock.Answer, error) {
		started <- struct{}{}
		<-release
		return rock.NewAnswer(r.ID(), "h1", []byte(`"`+strings.Repeat("y", 9000)+`"`)), nil
	}, limits: link.Limits{MessageBytes: 8192}})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}, limits: link.Limits{Calls: 2}})
	c := startEntry(t, entrySpec{name: "e3", seeds: []string{b.member.Address()}, limits: link.Limits{MessageBytes: 2048}})
	p := a.peer(t, "e2")

	long := rock.NewRequest(rock.RequestSpec{ID: "r0", Payload: []byte(`"` + strings.Repeat("x", 4096) + `"`)})
	_, err := c.peer(t, "e2").Forward(context.Background(), long)
	assert.Equal(t, rock.ReasonOf(err), rock.TooLarge)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)

	g := group.New(context.Background())
	var first, second error
	g.Go("first", func(ctx context.Context) error { _, first = p.Forward(ctx, request("r1")); return nil })
	g.Go("second", func(ctx context.Context) error { _, second = p.Forward(ctx, request("r2")); return nil })
	<-started
	<-started
	_, err = p.Forward(context.Background(), request("r3"))
	assert.Equal(t, rock.ReasonOf(err), rock.Overloaded)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	close(release)
	assert.NilError(t, g.Wait())
	for _, err := range []error{first, second} {
		assert.Equal(t, rock.ReasonOf(err), rock.TooLarge, "an answer beyond the limit")
		assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	}
}

func TestWrongSecretIsNotAccepted(t *testing.T) {
	b := startEntry(t, entrySpec{name: "e2", secret: "another"})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	c := startEntry(t, entrySpec{name: "e3", seeds: []string{a.member.Address(), b.member.Address()}})
	c.peer(t, "e1")
	assert.Equal(t, len(b.set.Alive(time.Now())), 0)
	_, known := a.set.State(time.Now(), "e2")
	assert.Assert(t, !known)
}

func TestNewerRevisionIsToldOf(t *testing.T) {
	t.Parallel()
	b := startEntry(t, entrySpec{name: "e2"})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	a.peer(t, "e2")
	b.setRevision(41)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.heardRevision() == 41 {
			return poll.Success()
		}
		return poll.Continue("heard %d", a.heardRevision())
	}, poll.WithTimeout(20*time.Second))
}
