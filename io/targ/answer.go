package targ

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	rock "bramleyrock"
	"bramleyrock/io/probl"
)

const digestHeader = "Content-Digest"

// Digest returns the value of the header Content-Digest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// SetAnswerHeader sets the header of an answer, or of a refusal, that belongs
// to a task.
func SetAnswerHeader(h http.Header, taskID string, body []byte) {
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(digestHeader, Digest(body))
	h.Set(TaskHeader, taskID)
}

// answerReader reads the responses to one call.
type answerReader struct {
	op     string
	host   string
	taskID string
	callID string
	limit  int64
}

// read returns the whole body of an answer, or the failure that the target
// tells. A refusal is checked like an answer, so that no other task's refusal
// is taken for this one's.
func (a answerReader) read(resp *http.Response) ([]byte, error) {
	if id := resp.Header.Get(CallHeader); id != a.callID {
		return nil, a.fail(rock.Truncated).Becausef("answer belongs to call %q, not %q", id, a.callID)
	}
	if id := resp.Header.Get(TaskHeader); id != a.taskID {
		return nil, a.fail(rock.Truncated).Becausef("answer belongs to task %q, not %q", id, a.taskID)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, a.limit))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, a.fail(rock.TooLarge).Becausef("answer has more than %d bytes", a.limit)
	}
	if err != nil {
		return nil, a.fail(rock.Truncated).Because(fmt.Errorf("read answer: %w", err))
	}
	if want := resp.Header.Get(digestHeader); want != Digest(body) && resp.StatusCode != http.StatusNoContent {
		return nil, a.fail(rock.Truncated).Becausef("digest of the answer is not %q", want)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return body, probl.Read(resp)
}

// fail returns a failure after which the task may have run.
func (a answerReader) fail(reason rock.Reason) *rock.Failure {
	return rock.Fail(a.op, "host "+a.host, reason, rock.MayHaveRun)
}
