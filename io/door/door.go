package door

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/probl"

	"github.com/sirupsen/logrus"
)

// Door is an HTTP server on one address. It is safe for concurrent use once it
// listens.
type Door struct {
	name               string
	address            string
	limits             Limits
	handler            http.Handler
	log                logrus.FieldLogger
	listener           net.Listener
	server             *http.Server
	connections        atomic.Int64
	keepAlivesDisabled atomic.Bool
}

// New returns a door that does not listen yet.
func New(s Settings) *Door {
	d := &Door{
		name:    s.Name,
		address: s.Address,
		limits:  s.Limits.withDefaults(),
		handler: s.Handler,
		log:     s.Log,
	}
	d.server = &http.Server{
		Handler:           http.HandlerFunc(d.serve),
		ReadHeaderTimeout: d.limits.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
		ConnState:         d.countConnection,
	}
	return d
}

// Listen starts listening on the address of the settings.
func (d *Door) Listen() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return fmt.Errorf("%s door cannot listen on %s: %w", d.name, d.address, err)
	}
	d.listener = l
	return nil
}

// Address returns the address on which the door listens, with the actual port.
// Listen must have succeeded.
func (d *Door) Address() string { return d.listener.Addr().String() }

// Serve handles requests until Close is called, then returns nil. It ignores its
// context, so that requests in flight can be completed.
func (d *Door) Serve(context.Context) error {
	d.log.WithField("address", d.Address()).Infof("The %s door is open.", d.name)
	err := d.server.Serve(d.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s door: %w", d.name, err)
}

// DisableKeepAlives closes each connection after its next response. Callers then
// open new connections to other entries, and none is idle when the door closes.
func (d *Door) DisableKeepAlives() { d.keepAlivesDisabled.Store(true) }

// Close stops accepting connections and waits until all requests in flight are
// answered. If ctx ends first, it closes the remaining connections and returns
// an error.
func (d *Door) Close(ctx context.Context) error {
	if err := d.server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("close %s door: %w", d.name, err), d.server.Close())
	}
	return nil
}

// countConnection updates the number of open connections.
func (d *Door) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		d.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		d.connections.Add(-1)
	}
}

// serve enforces the limits of the door and passes the request to the handler.
func (d *Door) serve(w http.ResponseWriter, r *http.Request) {
	if d.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if open := d.connections.Load(); open > int64(d.limits.MaxConnections) {
		w.Header().Set("Connection", "close")
		probl.Write(w, rock.Fail("connect to", d.name+" door", rock.Overloaded, rock.NotRun).
			RetryIn(time.Second).
			Becausef("%d connections are open, at most %d are allowed", open, d.limits.MaxConnections))
		return
	}
	if size := headerSize(r); size > d.limits.MaxHeaderBytes {
		w.Header().Set("Connection", "close")
		probl.Write(w, rock.Fail("read", "header", rock.TooLarge, rock.NotRun).
			Becausef("header has %d bytes, at most %d are allowed", size, d.limits.MaxHeaderBytes))
		return
	}
	if r.Body != http.NoBody {
		r.Body = newDeadlineBody(r.Body, w, time.Now().Add(d.limits.ReadTimeout))
	}
	d.handler.ServeHTTP(w, r)
}

// headerSize returns the size of the request line and header, in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}
