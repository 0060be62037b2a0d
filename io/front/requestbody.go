package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	rock "bramleyrock"
)

// maxKeyLength is the greatest length of an idempotency key, in bytes.
const maxKeyLength = 512

// requestBody is the JSON form of a request.
type requestBody struct {
	Payload        json.RawMessage `json:"payload"`
	TimeoutMS      *int64          `json:"timeout_ms"`
	Class          rock.Class      `json:"class"`
	Idempotent     bool            `json:"idempotent"`
	IdempotencyKey string          `json:"idempotency_key"`
}

// badInput returns the refusal of a malformed request.
func badInput(format string, args ...any) *rock.Failure {
	return rock.Fail("read", "request", rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// readJSON reads the body of a request, which must hold one JSON object
// without unknown fields, into v.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return rock.Fail("read", "request", rock.TooLarge, rock.NotRun).Becausef("body is larger than %d bytes", limit)
	}
	if err != nil {
		return badInput("body did not arrive whole: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badInput("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return badInput("body: want one JSON object and nothing after it")
	}
	return nil
}

// timeout returns the time that the caller gives the request.
func (c requestBody) timeout(l Limits) (time.Duration, error) {
	if c.TimeoutMS == nil {
		return l.DefaultTimeout, nil
	}
	if ms := *c.TimeoutMS; ms < 1 || ms > l.MaxTimeout.Milliseconds() {
		return 0, fmt.Errorf("timeout_ms %d: want 1 to %d", ms, l.MaxTimeout.Milliseconds())
	}
	return time.Duration(*c.TimeoutMS) * time.Millisecond, nil
}

// validate reports the first field that is not allowed.
func (c requestBody) validate(l Limits) error {
	if len(c.Payload) == 0 {
		return badInput("payload: want a JSON value")
	}
	if c.Class != "" && !c.Class.Valid() {
		return badInput("class %q: want %s or %s", c.Class, rock.Urgent, rock.Normal)
	}
	if len(c.IdempotencyKey) > maxKeyLength {
		return badInput("idempotency_key of %d bytes: want at most %d", len(c.IdempotencyKey), maxKeyLength)
	}
	if _, err := c.timeout(l); err != nil {
		return badInput("%w", err)
	}
	return nil
}
