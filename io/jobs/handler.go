package jobs

import (
	"encoding/json"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/auth"
	"bramleyrock/io/probl"
)

// Handler returns the handler that serves jobs to callers:
//
//	POST /v1/pools/{pool}/jobs  submits a job: 202 and its id
//	GET /v1/jobs/{id}           returns a job's state, progress and result
//	DELETE /v1/jobs/{id}        requests the cancellation of a job: 202
func (s *Jobs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pools/{pool}/jobs", s.handle(s.serveSubmit))
	mux.HandleFunc("GET /v1/jobs/{id}", s.handle(s.serveGet))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.handle(s.serveCancel))
	mux.HandleFunc("/", s.handle(func(_ http.ResponseWriter, r *http.Request) error {
		return rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).
			Becausef("want POST /v1/pools/{pool}/jobs, GET or DELETE /v1/jobs/{id}")
	}))
	return mux
}

func (s *Jobs) handle(f func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := f(w, r); err != nil {
			probl.Write(w, err)
		}
	}
}

// jobIDResponse is the body of the answer to a submission or a cancellation.
type jobIDResponse struct {
	JobID string `json:"job_id"`
}

// jobResponse is the body of the answer to a query for a job.
type jobResponse struct {
	JobID       string          `json:"job_id"`
	Pool        string          `json:"pool"`
	Class       rock.Class      `json:"class"`
	Idempotent  bool            `json:"idempotent"`
	State       job.State       `json:"state"`
	Verdict     rock.Verdict    `json:"verdict,omitempty"`
	Reason      rock.Reason     `json:"reason,omitempty"`
	Detail      string          `json:"detail,omitempty"`
	Progress    float64         `json:"progress"`
	Checkpoint  bool            `json:"checkpoint"`
	SubmittedAt time.Time       `json:"submitted_at"`
	Since       time.Time       `json:"since"`
	Result      json.RawMessage `json:"result,omitempty"`
}

func (s *Jobs) serveSubmit(w http.ResponseWriter, r *http.Request) error {
	fleet, id, err := auth.Caller(s.settings.Fleet, r)
	if err != nil {
		return err
	}
	var c submission
	if err := readSubmission(w, r, s.settings.MaxPayloadBytes+submissionOverhead, &c); err != nil {
		return err
	}
	if err := c.check(s.settings); err != nil {
		return err
	}
	pool := r.PathValue("pool")
	if p, ok := fleet.Pool(pool); !ok || !p.Serves(id.Organisation()) {
		return rock.Fail("find", "pool", rock.NotFound, rock.NotRun).Becausef("no pool %q serves organisation %s", pool, id.Organisation())
	}
	if err := s.checkQuota(fleet, id.Organisation()); err != nil {
		return err
	}
	spec := job.Spec{
		ID: s.settings.NewID(), Organisation: id.Organisation(), Pool: pool, Class: c.Class,
		Idempotent: c.Idempotent, MaxRun: c.maxRun(), Payload: c.Payload,
	}
	if err := s.submit(r.Context(), job.New(spec, s.settings.Now().UTC())); err != nil {
		return err
	}
	return writeJSON(w, http.StatusAccepted, jobIDResponse{spec.ID})
}

func (s *Jobs) serveGet(w http.ResponseWriter, r *http.Request) error {
	j, _, err := s.findOwnJob(r)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, jobResponse{
		JobID: j.ID(), Pool: j.Pool(), Class: j.Class(), Idempotent: j.Idempotent(), State: j.State(),
		Verdict: j.Verdict(), Reason: j.Reason(), Detail: j.Detail(), Progress: s.progress(r.Context(), j),
		Checkpoint: len(j.Checkpoint()) > 0, SubmittedAt: j.SubmittedAt(), Since: j.StateSince(), Result: j.Result(),
	})
}

func (s *Jobs) serveCancel(w http.ResponseWriter, r *http.Request) error {
	j, _, err := s.findOwnJob(r)
	if err != nil {
		return err
	}
	if j.State().Ended() {
		return rock.Fail("cancel", "job "+j.ID(), rock.Conflict, rock.NotRun).Becausef("the job has ended as %s", j.State())
	}
	var t rock.Transaction
	t.Put(cancelKey(j.ID()), []byte(`{}`))
	if err := s.commit(r.Context(), t); err != nil {
		return err
	}
	s.requestRound()
	return writeJSON(w, http.StatusAccepted, jobIDResponse{j.ID()})
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rock.Fail("answer", "", rock.Internal, rock.MayHaveRun).Because(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // it fails if the caller closed the connection
	return nil
}
