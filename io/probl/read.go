package probl

import (
	"io"
	"net/http"

	rock "bramleyrock"
)

// maxBodyBytes bounds how much of a response's body is read, in bytes.
const maxBodyBytes = 1 << 20

// Read returns the failure in the response, or nil if its status is below 300. It
// reads the body of a failed response but does not close it.
func Read(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		if p, ok := decode(body); ok {
			return p.Failure()
		}
	}
	return failureWithoutBody(resp)
}

// failureWithoutBody returns the failure for a response without a valid problem body.
// It uses the verdict header, which cannot be truncated as the body can.
func failureWithoutBody(resp *http.Response) error {
	v := rock.Verdict(resp.Header.Get(VerdictHeader))
	if !v.Valid() {
		v = rock.MayHaveRun
	}
	return rock.Fail("call", "", rock.Unavailable, v).Becausef("status %s without a problem body", resp.Status)
}
