package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	rock "bramleyrock"
)

// submissionOverhead is the greatest size, in bytes, of a submission's body
// without its payload.
const submissionOverhead = 1024

// submission is the body of a request that submits a job.
type submission struct {
	Payload    json.RawMessage `json:"payload"`
	Class      rock.Class      `json:"class"`
	Idempotent bool            `json:"idempotent"`
	MaxRunMS   *int64          `json:"max_run_ms"`
}

func badInput(format string, args ...any) *rock.Failure {
	return rock.Fail("read", "job", rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// readSubmission decodes the request's body into c. The body must be one JSON
// object of at most limit bytes, without unknown fields.
func readSubmission(w http.ResponseWriter, r *http.Request, limit int64, c *submission) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return rock.Fail("read", "job", rock.TooLarge, rock.NotRun).Becausef("body is larger than %d bytes", limit)
	}
	if err != nil {
		return badInput("body did not arrive whole: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return badInput("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return badInput("body: want one JSON object and nothing after it")
	}
	return nil
}

// check returns an error that names the first field with a wrong value.
func (c submission) check(s Settings) error {
	if len(c.Payload) == 0 {
		return badInput("payload: want a JSON value")
	}
	if n := int64(len(c.Payload)); n > s.MaxPayloadBytes {
		return rock.Fail("read", "job", rock.TooLarge, rock.NotRun).Becausef("payload of %d bytes: at most %d are allowed", n, s.MaxPayloadBytes)
	}
	if c.Class != "" && !c.Class.Valid() {
		return badInput("class %q: want %s or %s", c.Class, rock.Urgent, rock.Normal)
	}
	if c.MaxRunMS != nil && (*c.MaxRunMS < 1 || *c.MaxRunMS > s.MaxRun.Milliseconds()) {
		return badInput("max_run_ms %d: want 1 to %d", *c.MaxRunMS, s.MaxRun.Milliseconds())
	}
	return nil
}

// maxRun returns the time limit of one run, or 0 for none.
func (c submission) maxRun() time.Duration {
	if c.MaxRunMS == nil {
		return 0
	}
	return time.Duration(*c.MaxRunMS) * time.Millisecond
}
