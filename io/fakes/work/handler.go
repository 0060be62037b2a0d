package work

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/probl"
	"bramleyrock/io/targ"
)

// maxBody is the greatest size of a call's body, in bytes.
const maxBody = 16 << 20

// Handler returns the target's calls over HTTP, as described in
// [bramleyrock/io/targ]. The stand-in adds GET and POST /faults with [Faults],
// GET /runs with the ledger, and POST /reboot, which ends all running tasks.
func (w *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /run", w.serveRun)
	m.HandleFunc("POST /tasks", w.serveStart)
	m.HandleFunc("GET /tasks/{id}", w.serveTask(w.status))
	m.HandleFunc("POST /tasks/{id}/checkpoint", w.serveTask(w.saveState))
	m.HandleFunc("POST /tasks/{id}/revoke", w.serveTask(w.revoke))
	m.HandleFunc("DELETE /tasks/{id}", w.serveTask(w.cancel))
	m.HandleFunc("GET /usage", func(rw http.ResponseWriter, r *http.Request) {
		if w.awake(r.Context()) {
			write(rw, "", targ.FromUsage(w.Usage(w.settings.Now())))
		}
	})
	m.HandleFunc("GET /faults", func(rw http.ResponseWriter, _ *http.Request) { write(rw, "", w.Faults()) })
	m.HandleFunc("POST /faults", func(rw http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(rw, r, "", &f) {
			w.SetFaults(f)
			rw.WriteHeader(http.StatusNoContent)
		}
	})
	m.HandleFunc("GET /runs", func(rw http.ResponseWriter, _ *http.Request) { write(rw, "", w.Runs()) })
	m.HandleFunc("POST /reboot", func(rw http.ResponseWriter, _ *http.Request) {
		w.Reboot(w.settings.Now())
		rw.WriteHeader(http.StatusNoContent)
	})
	return w.guard(m)
}

// guard breaks connections while the worker is down, but for its switches, and
// answers each call with its id.
func (w *Worker) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.Faults().Down && r.URL.Path != "/faults" && r.URL.Path != "/runs" {
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set(targ.CallHeader, r.Header.Get(targ.CallHeader))
		next.ServeHTTP(rw, r)
	})
}

// awake waits for the end of the call if the worker is silent, and reports
// whether it answers.
func (w *Worker) awake(ctx context.Context) bool {
	if !w.Faults().Silent {
		return true
	}
	<-ctx.Done()
	return false
}

// decode reads a call's JSON body, and refuses another.
func decode(rw http.ResponseWriter, r *http.Request, taskID string, value any) bool {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		refuse(rw, taskID, rock.Fail("decode", r.URL.Path, rock.BadInput, rock.NotRun).Because(err))
		return false
	}
	return true
}

// write answers with a JSON value that belongs to a task.
func write(rw http.ResponseWriter, taskID string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		refuse(rw, taskID, fmt.Errorf("encode answer: %w", err))
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	targ.SetAnswerHeader(rw.Header(), taskID, body)
	// The client is gone if this fails, and there is nobody left to tell.
	_, _ = rw.Write(body)
}

// refuse answers with a problem that belongs to a task.
func refuse(rw http.ResponseWriter, taskID string, err error) {
	probl.Write(&taskWriter{ResponseWriter: rw, taskID: taskID}, err)
}

// readTask reads the task of a call.
func readTask(rw http.ResponseWriter, r *http.Request) (rock.Task, bool) {
	var f targ.TaskForm
	ok := decode(rw, r, "", &f)
	return f.Task(), ok
}

// serveRun runs a task and answers when it has ended.
func (w *Worker) serveRun(rw http.ResponseWriter, r *http.Request) {
	t, ok := readTask(rw, r)
	if !ok {
		return
	}
	now := w.settings.Now
	hit, err := w.start(now(), t, 1)
	if err != nil {
		refuse(rw, t.ID(), err)
		return
	}
	defer func() { w.release(now(), t.ID()) }()
	if w.await(r.Context(), t.ID(), hit) != nil {
		panic(http.ErrAbortHandler)
	}
	id := t.ID()
	if hit.Swap {
		id = w.swapped(id)
	}
	a, err := w.collect(now(), id, Faults{})
	if err != nil {
		refuse(rw, id, err)
		return
	}
	writeRun(rw, a, hit.CutShort)
}

// writeRun answers with a task's answer, or with its first half.
func writeRun(rw http.ResponseWriter, a rock.Answer, cutShort bool) {
	body := a.Payload()
	rw.Header().Set("Content-Type", "application/json")
	targ.SetAnswerHeader(rw.Header(), a.RequestID(), body)
	if cutShort {
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(body)
}

// serveStart starts a long-running task.
func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	t, ok := readTask(rw, r)
	if !ok {
		return
	}
	hit, err := w.start(w.settings.Now(), t, 0)
	if err != nil {
		refuse(rw, t.ID(), err)
		return
	}
	if hit.Silent || hit.LostTrack {
		<-r.Context().Done()
		return
	}
	write(rw, t.ID(), struct{}{})
}

// serveTask answers a call about a task with the task's status.
func (w *Worker) serveTask(do func(now time.Time, id string) (rock.TaskStatus, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if !w.awake(r.Context()) {
			return
		}
		id := r.PathValue("id")
		status, err := do(w.settings.Now(), id)
		if err != nil {
			refuse(rw, id, err)
			return
		}
		write(rw, id, targ.FromStatus(status))
	}
}
