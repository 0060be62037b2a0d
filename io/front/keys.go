package front

import (
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/auth"
)

// keysRequestBody is the JSON body of a request for idempotency keys.
type keysRequestBody struct {
	Count int `json:"count"`
}

// keysAnswerBody is the JSON body of the response with the issued keys.
type keysAnswerBody struct {
	Keys      []string  `json:"keys"`
	ExpiresAt time.Time `json:"expires_at"`
}

// serveKeys issues idempotency keys to the caller's organisation; one key if the
// body gives no count.
func (h *callerHandler) serveKeys(w http.ResponseWriter, r *http.Request) error {
	_, id, err := auth.Caller(h.settings.Fleet, r)
	if err != nil {
		return err
	}
	b := keysRequestBody{Count: 1}
	if err := readJSON(w, r, h.settings.Limits.MaxBodyBytes, &b); err != nil {
		return err
	}
	if h.settings.Keys == nil {
		return rock.Fail("issue", "idempotency keys", rock.Unavailable, rock.NotRun).Becausef("this entry does not issue keys")
	}
	keys, expires, err := h.settings.Keys.IssueKeys(h.settings.Now(), id.Organisation(), b.Count)
	if err != nil {
		return err
	}
	return writeJSON(w, keysAnswerBody{Keys: keys, ExpiresAt: expires.UTC()})
}
