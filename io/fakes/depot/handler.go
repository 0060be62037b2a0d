package depot

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	rock "bramleyrock"
	"bramleyrock/io/plat"
	"bramleyrock/io/probl"
)

// maxBody is the greatest size of a call's body, in bytes.
const maxBody = 256 << 20

// HostCall adds a host, or tells the leases that run on it.
type HostCall struct {
	// Name is the host's name.
	Name string `json:"name,omitempty"`
	// Address is the IP address and port of the host's target.
	Address string `json:"address,omitempty"`
	// Leases is the number of running leases, if it is told.
	Leases *int `json:"leases,omitempty"`
	// Gone tells that the host failed or came back, if it is set.
	Gone *bool `json:"gone,omitempty"`
}

// Handler returns the platform's calls over HTTP, as described in
// [bramleyrock/io/plat]. The stand-in adds POST /hosts and POST /hosts/{name}
// with a [HostCall], GET and POST /faults with [Faults], and GET /stats with
// [Stats]. An answer that is lost breaks the connection.
func (d *Depot) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /table/read", serve(func(ctx context.Context, c plat.ReadRequest) (any, error) {
		rows, err := d.Read(ctx, c.Keys...)
		return plat.FromRows(rows), err
	}))
	m.HandleFunc("POST /table/scan", serve(func(ctx context.Context, c plat.ScanRequest) (any, error) {
		rows, err := d.Scan(ctx, c.Prefix, c.After, c.Limit)
		return plat.FromRows(rows), err
	}))
	m.HandleFunc("POST /table/commit", serve(func(ctx context.Context, c plat.CommitRequest) (any, error) {
		return nil, d.Commit(ctx, c.Transaction())
	}))
	d.addObjectCalls(m)
	d.addHostCalls(m)
	m.HandleFunc("GET /faults", serve(func(context.Context, none) (any, error) { return d.Faults(), nil }))
	m.HandleFunc("POST /faults", serve(func(_ context.Context, f Faults) (any, error) {
		d.SetFaults(f)
		return nil, nil
	}))
	m.HandleFunc("GET /stats", serve(func(context.Context, none) (any, error) { return d.Stats(), nil }))
	return m
}

// none is the body of a call that has none.
type none struct{}

// serve returns a handler that decodes a call of type T and encodes its
// answer.
func serve[T any](do func(ctx context.Context, c T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		d.DisallowUnknownFields()
		if err := d.Decode(&c); err != nil && !errors.Is(err, io.EOF) {
			probl.Write(w, rock.Fail("decode", r.URL.Path, rock.BadInput, rock.NotRun).Because(err))
			return
		}
		answer, err := do(r.Context(), c)
		reply(w, answer, err)
	}
}

// reply writes an answer or a failure. A lost answer breaks the connection.
func reply(w http.ResponseWriter, answer any, err error) {
	if rock.ReasonOf(err) == rock.OutcomeUnknown {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		probl.Write(w, err)
		return
	}
	if answer == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client is gone if this fails, and there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}

func (d *Depot) addObjectCalls(m *http.ServeMux) {
	m.HandleFunc("GET /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := d.Get(r.Context(), r.PathValue("name"))
		if err != nil {
			probl.Write(w, err)
			return
		}
		_, _ = w.Write(data)
	})
	m.HandleFunc("PUT /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			probl.Write(w, rock.Fail("put object", r.PathValue("name"), rock.BadInput, rock.NotRun).Because(err))
			return
		}
		reply(w, nil, d.Put(r.Context(), r.PathValue("name"), data))
	})
	m.HandleFunc("DELETE /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, nil, d.Remove(r.Context(), r.PathValue("name")))
	})
}

func (d *Depot) addHostCalls(m *http.ServeMux) {
	m.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		if q := r.URL.Query(); q.Has("since") {
			u, err := d.ChangesSince(r.Context(), rock.HostChangeFilter(q.Get("of")), rock.HostCursor(q.Get("since")))
			reply(w, plat.FromUpdate(u), err)
			return
		}
		list, err := d.List(r.Context())
		reply(w, plat.FromHosts(list), err)
	})
	m.HandleFunc("POST /hosts", serve(func(_ context.Context, c HostCall) (any, error) {
		return nil, d.tell(c)
	}))
	m.HandleFunc("POST /hosts/{name}", func(w http.ResponseWriter, r *http.Request) {
		serve(func(_ context.Context, c HostCall) (any, error) {
			c.Name = r.PathValue("name")
			return nil, d.tell(c)
		})(w, r)
	})
	m.HandleFunc("POST /hosts/{name}/drain", func(w http.ResponseWriter, r *http.Request) {
		reply(w, nil, d.Drain(r.Context(), r.PathValue("name")))
	})
	m.HandleFunc("POST /hosts/{name}/undrain", func(w http.ResponseWriter, r *http.Request) {
		reply(w, nil, d.Undrain(r.Context(), r.PathValue("name")))
	})
	m.HandleFunc("POST /hosts/{name}/reboot", func(w http.ResponseWriter, r *http.Request) {
		serve(func(ctx context.Context, c plat.RebootRequest) (any, error) {
			return nil, d.Reboot(ctx, r.PathValue("name"), c.ID)
		})(w, r)
	})
}

// tell takes a host's own report.
func (d *Depot) tell(c HostCall) error {
	if err := rock.CheckName(c.Name); err != nil {
		return rock.Fail("add host", c.Name, rock.BadInput, rock.NotRun).Because(err)
	}
	if c.Address != "" {
		d.AddHost(c.Name, c.Address)
	}
	if c.Gone != nil {
		d.SetGone(c.Name, *c.Gone)
	}
	if c.Leases != nil {
		d.SetLeases(c.Name, *c.Leases)
	}
	return nil
}
