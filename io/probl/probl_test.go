package probl_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/probl"

	"gotest.tools/v3/assert"
)

// roundTrip writes err as a response and returns the response and the error that is
// read from it.
func roundTrip(err error) (*http.Response, error) {
	w := httptest.NewRecorder()
	probl.Write(w, err)
	resp := w.Result()
	return resp, probl.Read(resp)
}

func TestRoundTrip(t *testing.T) {
	cases := map[string]struct {
		err    error
		status int
	}{
		"refusal with a wait": {rock.Fail("admit", "pool tins", rock.Overloaded, rock.NotRun).RetryIn(250 * time.Millisecond).Becausef("queue holds 512 requests"), 503},
		"lost answer":         {rock.Fail("commit", "change c1", rock.OutcomeUnknown, rock.MayHaveRun), 504},
		"unclassified":        {errors.New("broken pipe"), 500},
		"bad input":           {rock.Fail("decode", "pool/tins", rock.BadInput, rock.NotRun).Becausef("spare: want true or false"), 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, got := roundTrip(c.err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, resp.Header.Get(probl.VerdictHeader), string(rock.VerdictOf(c.err)))
			assert.Equal(t, rock.VerdictOf(got), rock.VerdictOf(c.err))
			assert.Equal(t, rock.ReasonOf(got), rock.ReasonOf(c.err))
			assert.Assert(t, strings.Contains(got.Error(), c.err.Error()))
		})
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	resp, err := roundTrip(rock.Fail("admit", "", rock.Overloaded, rock.NotRun).RetryIn(1200 * time.Millisecond))
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	var f *rock.Failure
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, f.RetryAfter(), 1200*time.Millisecond)
}

func TestConflictShowsBothSides(t *testing.T) {
	key := rock.NewKey(rock.KindPool, "tins")
	current := rock.NewRecord(key, 1, 4, json.RawMessage(`{"spare":true}`))
	proposed := rock.NewRecord(key, 1, 3, json.RawMessage(`{"spare":false}`))
	_, err := roundTrip(rock.Fail("change", "pool/tins", rock.Conflict, rock.NotRun).
		Because(rock.NewVersionConflict(key, &current, &proposed)))
	var v *rock.VersionConflict
	assert.Assert(t, errors.As(err, &v))
	assert.Equal(t, v.Current().Version(), uint64(4))
	assert.Equal(t, string(v.Proposed().Body()), `{"spare":false}`)
}

// A response without a valid problem body is never taken for one that did not run,
// unless its verdict header says so.
func TestResponsesWithoutProblemBody(t *testing.T) {
	cases := map[string]struct {
		header, body string
		want         rock.Verdict
	}{
		"load balancer's page": {"", "<html>", rock.MayHaveRun},
		"truncated body":       {"not_run", `{"op":"admit","reason":"over`, rock.NotRun},
		"no reason":            {"", `{"verdict":"not_run"}`, rock.MayHaveRun},
		"unknown header value": {"maybe", "", rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := &http.Response{StatusCode: 502, Status: "502 Bad Gateway", Header: http.Header{}, Body: io.NopCloser(strings.NewReader(c.body))}
			resp.Header.Set(probl.VerdictHeader, c.header)
			assert.Equal(t, rock.VerdictOf(probl.Read(resp)), c.want)
		})
	}
}

func TestSuccessIsNoError(t *testing.T) {
	assert.NilError(t, probl.Read(&http.Response{StatusCode: 200}))
}
