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

const (
	quotaRetryDelay         = 200 * time.Millisecond
	configurationRetryDelay = time.Second
)

// RequestIDHeader is the header that carries the id of a request in its
// answer, also when it is refused.
const RequestIDHeader = "Bramleyrock-Request-Id"

// callerHandler is the handler of the caller door.
type callerHandler struct {
	settings Settings
	quotas   quotas
}

// New returns the handler of the caller door.
func New(s Settings) http.Handler {
	d := &callerHandler{settings: s.withDefaults(), quotas: quotas{counts: map[string]int{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pools/{pool}/requests", d.handle(d.serveRequest))
	mux.HandleFunc("POST /v1/keys", d.handle(d.serveKeys))
	mux.HandleFunc("/", d.handle(notFound))
	return mux
}

// handle answers with the problem of an error that f returns.
func (d *callerHandler) handle(f func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := f(w, r)
		verdict := rock.VerdictOf(err)
		d.settings.Scope.Tagged(map[string]string{"verdict": string(verdict), "reason": string(rock.ReasonOf(err))}).Counter("requests").Inc(1)
		if err != nil {
			probl.Write(w, err)
		}
	}
}

// notFound refuses a path or method that does not exist.
func notFound(_ http.ResponseWriter, r *http.Request) error {
	return rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).Becausef("want POST /v1/pools/{pool}/requests or POST /v1/keys")
}

// serveRequest runs one request of a caller.
func (d *callerHandler) serveRequest(w http.ResponseWriter, r *http.Request) error {
	fleet, id, err := auth.Caller(d.settings.Fleet, r)
	if err != nil {
		return err
	}
	var c requestBody
	if err := readJSON(w, r, d.settings.Limits.MaxBodyBytes, &c); err != nil {
		return err
	}
	if err := c.validate(d.settings.Limits); err != nil {
		return err
	}
	pool := r.PathValue("pool")
	if err := checkPool(fleet, id, pool); err != nil {
		return err
	}
	if err := d.quotas.acquire(id.Organisation(), fleet.Quota(id.Organisation())); err != nil {
		return err
	}
	defer d.quotas.release(id.Organisation())
	request := d.newRequest(c, id, pool)
	w.Header().Set(RequestIDHeader, request.ID())
	answer, err := d.settings.Runner.Do(r.Context(), request)
	if err != nil {
		return err
	}
	return d.writeAnswer(w, answer)
}

// newRequest returns the request that a checked call describes.
func (d *callerHandler) newRequest(c requestBody, id rock.Identity, pool string) rock.Request {
	timeout, _ := c.timeout(d.settings.Limits)
	return rock.NewRequest(rock.RequestSpec{
		ID:             d.settings.NewID(),
		Organisation:   id.Organisation(),
		Pool:           pool,
		Class:          c.Class,
		Idempotent:     c.Idempotent,
		IdempotencyKey: c.IdempotencyKey,
		Deadline:       d.settings.Now().Add(timeout),
		Payload:        c.Payload,
	})
}

// writeAnswer answers with the whole answer of a target.
func (d *callerHandler) writeAnswer(w http.ResponseWriter, a rock.Answer) error {
	if n := len(a.Payload()); n > d.settings.Limits.MaxAnswerBytes {
		return rock.Fail("answer", "request "+a.RequestID(), rock.TooLarge, rock.Ran).Becausef("payload has %d bytes, the limit is %d", n, d.settings.Limits.MaxAnswerBytes)
	}
	return writeJSON(w, answerBody{a.RequestID(), rock.Ran, a.Host(), a.Payload()})
}

// writeJSON answers with v, whole.
func writeJSON(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rock.Fail("answer", "", rock.Truncated, rock.MayHaveRun).Because(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(probl.VerdictHeader, string(rock.Ran))
	_, _ = w.Write(data) // the caller is gone if this fails
	return nil
}
