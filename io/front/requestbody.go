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

// maxKeyLength is the maximum length of an idempotency key, in bytes.
const maxKeyLength = 512

// requestBody is the JSON body of a request to run.
type requestBody struct {
	Payload        json.RawMessage `json:"payload"`
	TimeoutMS      *int64          `json:"timeout_ms"`
	Class          rock.Class      `json:"class"`
	Idempotent     bool            `json:"idempotent"`
	IdempotencyKey string          `json:"idempotency_key"`
}

// badInput returns the refusal of an invalid request.
func badInput(format string, args ...any) *rock.Failure {
	return rock.Fail("read", "request", rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// readJSON decodes the body of a request into v. The body must hold exactly one
// JSON object without unknown fields and have at most limit bytes.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return rock.Fail("read", "request", rock.TooLarge, rock.NotRun).Becausef("body is larger than %d bytes", limit)
	}
	if err != nil {
		return badInput("reading the body: %w", err)
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

// timeout returns the timeout of the request, or the default if it states none.
func (b requestBody) timeout(l Limits) (time.Duration, error) {
	if b.TimeoutMS == nil {
		return l.DefaultTimeout, nil
	}
	if ms := *b.TimeoutMS; ms < 1 || ms > l.MaxTimeout.Milliseconds() {
		return 0, fmt.Errorf("timeout_ms %d: want 1 to %d", ms, l.MaxTimeout.Milliseconds())
	}
	return time.Duration(*b.TimeoutMS) * time.Millisecond, nil
}

// validate returns an error for the first invalid field.
func (b requestBody) validate(l Limits) error {
	if len(b.Payload) == 0 {
		return badInput("payload is missing: want a JSON value")
	}
	if b.Class != "" && !b.Class.Valid() {
		return badInput("class %q: want %s or %s", b.Class, rock.Urgent, rock.Normal)
	}
	if len(b.IdempotencyKey) > maxKeyLength {
		return badInput("idempotency_key of %d bytes: want at most %d", len(b.IdempotencyKey), maxKeyLength)
	}
	if _, err := b.timeout(l); err != nil {
		return badInput("%w", err)
	}
	return nil
}
