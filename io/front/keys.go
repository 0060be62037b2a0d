package front

import (
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/auth"
)

// keysRequestBody is the JSON form of a request for idempotency keys.
type keysRequestBody struct {
	Count int `json:"count"`
}

// keysAnswerBody is the JSON form of the keys issued.
type keysAnswerBody struct {
	Keys      []string  `json:"keys"`
	ExpiresAt time.Time `json:"expires_at"`
}

// serveKeys issues idempotency keys to a caller.
func (d *callerHandler) serveKeys(w http.ResponseWriter, r *http.Request) error {
	_, id, err := auth.Caller(d.settings.Fleet, r)
	if err != nil {
		return err
	}
	c := keysRequestBody{Count: 1}
	if err := readJSON(w, r, d.settings.Limits.MaxBodyBytes, &c); err != nil {
		return err
	}
	if d.settings.Keys == nil {
		return rock.Fail("issue", "idempotency keys", rock.Unavailable, rock.NotRun).Becausef("this entry issues none")
	}
	keys, expires, err := d.settings.Keys.IssueKeys(d.settings.Now(), id.Organisation(), c.Count)
	if err != nil {
		return err
	}
	return writeJSON(w, keysAnswerBody{Keys: keys, ExpiresAt: expires.UTC()})
}
