package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// frameOverhead is the greatest size of a frame's envelope in bytes.
const frameOverhead = 1024

// maxUrgent is the number of heartbeats that may wait to be sent.
const maxUrgent = 4

// conn is the dialling end of one link. Heartbeats go before other calls and
// do not count against the limit of calls: a busy link is not a broken one.
type conn struct {
	ws     *websocket.Conn
	peer   rock.Member
	limits Limits
	queue  chan *call
	urgent chan *call
	done   chan struct{}
	nudge  chan struct{}

	ids *atomic.Uint64

	// beating makes heartbeats follow one another; it guards the fields below.
	beating sync.Mutex
	sender  beatSender
	reader  beatReader
	unsure  bool // the last heartbeat or its answer may be lost

	mu     sync.Mutex
	calls  map[uint64]*call
	closed bool
	ending bool // the peer said goodbye
}

// newConn returns a connection whose calls take their ids from ids, which all
// connections of one link share.
func newConn(ws *websocket.Conn, peer rock.Member, limits Limits, ids *atomic.Uint64) *conn {
	return &conn{
		ws:     ws,
		peer:   peer,
		limits: limits,
		ids:    ids,
		queue:  make(chan *call, limits.Calls),
		urgent: make(chan *call, maxUrgent),
		done:   make(chan struct{}),
		nudge:  make(chan struct{}, 1),
		calls:  map[uint64]*call{},
	}
}

// run carries calls until the connection breaks or a heartbeat fails. It
// returns the cause; calls in flight then end.
func (c *conn) run(ctx context.Context, beat func(ctx context.Context, c *conn) error) error {
	g := group.New(ctx)
	g.Go("read", c.read)
	g.Go("write", c.write)
	g.Go("beat", func(ctx context.Context) error { return c.beatAtIntervals(ctx, beat) })
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		c.close()
		return nil
	})
	return g.Wait()
}

func (c *conn) read(ctx context.Context) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		f, err := decodeFrame(data)
		if err != nil {
			return err
		}
		if f.Kind == frameGoodbye {
			c.end()
			continue
		}
		if f.Kind == frameAnswer {
			c.deliver(f)
		}
	}
}

func (c *conn) write(ctx context.Context) error {
	for {
		next, err := c.nextCall(ctx)
		if err != nil {
			return err
		}
		if !next.send() {
			continue
		}
		if err := c.writeFrame(ctx, next.frame); err != nil {
			return err
		}
	}
}

// nextCall returns the call to be sent next.
func (c *conn) nextCall(ctx context.Context) (*call, error) {
	select {
	case next := <-c.urgent:
		return next, nil
	default:
	}
	select {
	case next := <-c.urgent:
		return next, nil
	case next := <-c.queue:
		return next, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *conn) writeFrame(ctx context.Context, f frame) error {
	data, err := encoder.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.limits.WriteTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c *conn) beatAtIntervals(ctx context.Context, beat func(ctx context.Context, c *conn) error) error {
	ticker := time.NewTicker(c.limits.BeatInterval)
	defer ticker.Stop()
	for {
		if err := beat(ctx, c); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-c.nudge:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beatSoon makes the connection send a heartbeat at once.
func (c *conn) beatSoon() {
	select {
	case c.nudge <- struct{}{}:
	default:
	}
}

// beat exchanges heartbeats with the peer.
func (c *conn) beat(ctx context.Context, h rock.Heartbeat) (rock.Heartbeat, error) {
	c.beating.Lock()
	defer c.beating.Unlock()
	form := c.sender.encode(h, c.unsure)
	form.AskFull = c.unsure
	c.unsure = true
	called := c.invoke(ctx, opBeat, form)
	if called.err != nil {
		return rock.Heartbeat{}, called.err
	}
	var reply beatForm
	if err := decoder.Unmarshal(called.body, &reply); err != nil {
		return rock.Heartbeat{}, c.fail(opBeat, rock.Truncated, rock.MayHaveRun).Because(err)
	}
	other, _ := c.reader.decode(called.id, reply, c.peer)
	c.unsure = false
	return other, nil
}

// close ends the connection and every call in flight.
func (c *conn) close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.mu.Unlock()
	_ = c.ws.CloseNow()
}

// invoke makes one call.
func (c *conn) invoke(ctx context.Context, op operation, body any) outcome {
	unsent := func(f *rock.Failure) outcome { return outcome{progress: progressUnsent, err: f} }
	data, err := encoder.Marshal(body)
	if err != nil {
		return unsent(c.fail(op, rock.BadInput, rock.NotRun).Because(err))
	}
	if limit := c.limits.MessageBytes - frameOverhead; len(data) > limit {
		return unsent(c.fail(op, rock.TooLarge, rock.NotRun).Becausef("message of %d bytes: at most %d are allowed", len(data), limit))
	}
	ctx, cancel := context.WithTimeout(ctx, c.limits.CallTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return unsent(c.fail(op, reasonOf(err), rock.NotRun).Because(err))
	}
	next, failure := c.enqueue(ctx, op, data)
	if failure != nil {
		return unsent(failure)
	}
	defer c.remove(next.frame.ID)
	return c.await(ctx, next)
}

func (c *conn) enqueue(ctx context.Context, op operation, body []byte) (*call, *rock.Failure) {
	deadline, _ := ctx.Deadline()
	within := max(time.Until(deadline).Milliseconds(), 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, c.fail(op, rock.Unavailable, rock.NotRun).Becausef("link is closed")
	}
	if c.ending && op != opBeat {
		return nil, c.fail(op, rock.Leaving, rock.NotRun).Becausef("the peer is shutting down")
	}
	queue := c.queue
	if op == opBeat {
		queue = c.urgent
	} else if len(c.calls) >= c.limits.Calls {
		return nil, c.fail(op, rock.Overloaded, rock.NotRun).Becausef("%d calls in flight", len(c.calls))
	}
	next := newCall(frame{Kind: frameCall, ID: c.ids.Add(1), Op: op, Within: within, Body: body})
	select {
	case queue <- next:
		c.calls[next.frame.ID] = next
		return next, nil
	default:
		return nil, c.fail(op, rock.Overloaded, rock.NotRun).Becausef("send queue is full")
	}
}

// await returns the outcome of a call that was queued.
func (c *conn) await(ctx context.Context, waiting *call) outcome {
	op := waiting.frame.Op
	select {
	case f := <-waiting.reply:
		return settle(f)
	case <-ctx.Done():
		if waiting.drop() {
			return outcome{progress: progressUnsent, err: c.fail(op, reasonOf(ctx.Err()), rock.NotRun).Because(ctx.Err())}
		}
		c.sendCancel(waiting.frame.ID)
		return outcome{progress: progressLeft, err: c.fail(op, reasonOf(ctx.Err()), rock.MayHaveRun).Because(ctx.Err())}
	case <-c.done:
	}
	select {
	case f := <-waiting.reply:
		return settle(f)
	default:
	}
	if waiting.drop() {
		return outcome{progress: progressUnsent, err: c.fail(op, rock.Unavailable, rock.NotRun).Becausef("link broke before the call was sent")}
	}
	err := c.fail(op, rock.Unavailable, rock.MayHaveRun).Becausef("link broke before the answer came")
	return outcome{id: waiting.frame.ID, progress: progressBroken, err: err}
}

func settle(f frame) outcome {
	if f.Failure != nil {
		return outcome{id: f.ID, progress: progressAnswered, err: f.Failure.failure()}
	}
	return outcome{id: f.ID, progress: progressAnswered, body: f.Body}
}

// sendCancel tells the peer that nobody waits for the answer.
func (c *conn) sendCancel(id uint64) {
	select {
	case c.queue <- newCall(frame{Kind: frameCancel, ID: id}):
	default:
	}
}

// deliver hands an answer to the call that waits for it. An answer that nobody
// waits for, or a second one, is dropped.
func (c *conn) deliver(f frame) {
	c.mu.Lock()
	waiting := c.calls[f.ID]
	c.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting.reply <- f:
	default:
	}
}

// end lets the calls in flight end, and then closes the connection.
func (c *conn) end() {
	c.mu.Lock()
	c.ending = true
	unused := len(c.calls) == 0
	c.mu.Unlock()
	if unused {
		c.close()
	}
}

func (c *conn) remove(id uint64) {
	c.mu.Lock()
	delete(c.calls, id)
	ended := c.ending && len(c.calls) == 0
	c.mu.Unlock()
	if ended {
		c.close()
	}
}

func (c *conn) fail(op operation, reason rock.Reason, verdict rock.Verdict) *rock.Failure {
	return rock.Fail(string(op), "peer "+c.peer.Name(), reason, verdict)
}

func reasonOf(err error) rock.Reason {
	if err == context.DeadlineExceeded {
		return rock.DeadlineExceeded
	}
	return rock.Cancelled
}
