package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/auth"
	"bramleyrock/io/probl"
)

// The retry delays suggested to callers: after a quota is exceeded, and while no
// configuration is known.
const (
	quotaRetryDelay         = 200 * time.Millisecond
	configurationRetryDelay = time.Second
)

// RequestIDHeader is the response header with the id of the request. It is set
// for every request that passed the checks of this package, also if it fails.
const RequestIDHeader = "Bramleyrock-Request-Id"

// callerHandler handles the HTTP requests of callers.
type callerHandler struct {
	settings Settings
	quotas   quotas
}

// New returns the handler of the API for callers.
func New(s Settings) http.Handler {
	h := &callerHandler{settings: s.withDefaults(), quotas: quotas{counts: map[string]int{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pools/{pool}/requests", h.handle(h.serveRequest))
	mux.HandleFunc("POST /v1/keys", h.handle(h.serveKeys))
	mux.HandleFunc("/", h.handle(notFound))
	return mux
}

// handle returns a handler that calls f, counts the result by verdict and reason,
// and responds with a problem body if f returned an error.
func (h *callerHandler) handle(f func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := f(w, r)
		verdict := rock.VerdictOf(err)
		h.settings.Scope.Tagged(map[string]string{"verdict": string(verdict), "reason": string(rock.ReasonOf(err))}).Counter("requests").Inc(1)
		if err != nil {
			probl.Write(w, err)
		}
	}
}

// notFound refuses an unknown path or method.
func notFound(_ http.ResponseWriter, r *http.Request) error {
	return rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).Becausef("want POST /v1/pools/{pool}/requests or POST /v1/keys")
}

// serveRequest authenticates and checks one request of a caller and runs it.
func (h *callerHandler) serveRequest(w http.ResponseWriter, r *http.Request) error {
	fleet, id, err := auth.Caller(h.settings.Fleet, r)
	if err != nil {
		return err
	}
	var b requestBody
	if err := readJSON(w, r, h.settings.Limits.MaxBodyBytes, &b); err != nil {
		return err
	}
	if err := b.validate(h.settings.Limits); err != nil {
		return err
	}
	pool := r.PathValue("pool")
	if err := checkPool(fleet, id, pool); err != nil {
		return err
	}
	if err := h.quotas.acquire(id.Organisation(), fleet.Quota(id.Organisation())); err != nil {
		return err
	}
	defer h.quotas.release(id.Organisation())
	request := h.newRequest(b, id, pool)
	w.Header().Set(RequestIDHeader, request.ID())
	answer, err := h.settings.Runner.Do(r.Context(), request)
	if err != nil {
		return err
	}
	return h.writeAnswer(w, answer)
}

// newRequest returns the request that a validated body describes.
func (h *callerHandler) newRequest(b requestBody, id rock.Identity, pool string) rock.Request {
	timeout, _ := b.timeout(h.settings.Limits)
	return rock.NewRequest(rock.RequestSpec{
		ID:             h.settings.NewID(),
		Organisation:   id.Organisation(),
		Pool:           pool,
		Class:          b.Class,
		Idempotent:     b.Idempotent,
		IdempotencyKey: b.IdempotencyKey,
		Deadline:       h.settings.Now().Add(timeout),
		Payload:        b.Payload,
	})
}

// writeAnswer writes the complete answer of a target. An answer that is too
// large is refused with verdict ran.
func (h *callerHandler) writeAnswer(w http.ResponseWriter, a rock.Answer) error {
	if n := len(a.Payload()); n > h.settings.Limits.MaxAnswerBytes {
		return rock.Fail("answer", "request "+a.RequestID(), rock.TooLarge, rock.Ran).Becausef("payload has %d bytes, the limit is %d", n, h.settings.Limits.MaxAnswerBytes)
	}
	return writeJSON(w, answerBody{a.RequestID(), rock.Ran, a.Host(), a.Payload()})
}

// writeJSON writes v as a JSON response with verdict ran and a Content-Length,
// so that the caller can detect a truncated body.
func writeJSON(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rock.Fail("answer", "", rock.Truncated, rock.MayHaveRun).Because(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(probl.VerdictHeader, string(rock.Ran))
	_, _ = w.Write(data) // fails only if the caller has disconnected
	return nil
}
