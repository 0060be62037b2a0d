package probl

import (
	"encoding/json"
	"net/http"
	"strconv"

	rock "bramleyrock"
)

// VerdictHeader is the HTTP header that holds the verdict of a response.
const VerdictHeader = "Bramleyrock-Verdict"

const contentType = "application/problem+json"

// statuses holds the HTTP status of each reason. Reasons that are not in it have
// status 500.
var statuses = map[rock.Reason]int{
	rock.BadInput:          http.StatusBadRequest,
	rock.TooLarge:          http.StatusRequestEntityTooLarge,
	rock.Unauthenticated:   http.StatusUnauthorized,
	rock.Forbidden:         http.StatusForbidden,
	rock.NotFound:          http.StatusNotFound,
	rock.Conflict:          http.StatusConflict,
	rock.BudgetExceeded:    http.StatusConflict,
	rock.Duplicate:         http.StatusConflict,
	rock.Fenced:            http.StatusConflict,
	rock.Overloaded:        http.StatusServiceUnavailable,
	rock.QuotaExceeded:     http.StatusTooManyRequests,
	rock.NoHost:            http.StatusServiceUnavailable,
	rock.Leaving:           http.StatusServiceUnavailable,
	rock.Unavailable:       http.StatusServiceUnavailable,
	rock.DeadlineExceeded:  http.StatusGatewayTimeout,
	rock.OutcomeUnknown:    http.StatusGatewayTimeout,
	rock.Cancelled:         http.StatusRequestTimeout,
	rock.Truncated:         http.StatusBadGateway,
	rock.WorkFailed:        http.StatusUnprocessableEntity,
	rock.Quarantined:       http.StatusUnprocessableEntity,
	rock.Expired:           http.StatusGone,
	rock.SchemaUnsupported: http.StatusNotAcceptable,
}

// Status returns the HTTP status of a response that reports a failure with the
// reason.
func Status(r rock.Reason) int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Write writes err to w as a response with a problem body. Nothing else may have
// been written to w before.
func Write(w http.ResponseWriter, err error) {
	p := FromError(err)
	body, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		// A record's body may be invalid JSON. The problem is sent without the records.
		p.Current, p.Proposed = nil, nil
		body, _ = json.Marshal(p)
	}
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(VerdictHeader, string(p.Verdict))
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(Status(p.Reason))
	// An error means that the client has disconnected, so there is nobody to report
	// it to.
	_, _ = w.Write(body)
}
