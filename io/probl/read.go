package probl

import (
	"io"
	"net/http"

	rock "bramleyrock"
)

// maxBodyBytes is the greatest size of a problem body that is read, in bytes.
const maxBodyBytes = 1 << 20

// Read returns the failure that the response tells, or nil if its status is
// below 300. It reads the body of a failed response; the caller closes it.
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

// failureWithoutBody returns the failure of a response without a whole problem body. The
// verdict header, which arrives whole or not at all, is believed.
func failureWithoutBody(resp *http.Response) error {
	v := rock.Verdict(resp.Header.Get(VerdictHeader))
	if !v.Valid() {
		v = rock.MayHaveRun
	}
	return rock.Fail("call", "", rock.Unavailable, v).Becausef("status %s without a problem body", resp.Status)
}
