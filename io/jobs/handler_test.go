package jobs_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// TestRefusals checks the status, verdict and detail of the answer to each wrong
// request, such as one for a job of another organisation.
func TestRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, nil)
	e := f.start("e1")
	id := e.submit(fmt.Sprintf(jobFormat, false, endlessMS))
	cases := map[string]struct {
		method, path, token, body string
		code                      int
		detail                    string
	}{
		"no such token":          {"POST", "/v1/pools/tins/jobs", "nobody", `{"payload":1}`, http.StatusUnauthorized, ""},
		"operator's token":       {"POST", "/v1/pools/tins/jobs", "op-token", `{"payload":1}`, http.StatusForbidden, "want caller"},
		"pool of another":        {"POST", "/v1/pools/tins/jobs", "beta-token", `{"payload":1}`, http.StatusNotFound, "no pool"},
		"no such pool":           {"POST", "/v1/pools/x%2Fy/jobs", "alpha-token", `{"payload":1}`, http.StatusNotFound, "no pool"},
		"no payload":             {"POST", "/v1/pools/tins/jobs", "alpha-token", `{}`, http.StatusBadRequest, "payload: want"},
		"unknown field":          {"POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":1,"x":1}`, http.StatusBadRequest, "unknown field"},
		"unknown class":          {"POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":1,"class":"vip"}`, http.StatusBadRequest, "want urgent or normal"},
		"negative bound":         {"POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":1,"max_run_ms":-1}`, http.StatusBadRequest, "max_run_ms -1"},
		"too large":              {"POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":"` + strings.Repeat("x", 300<<10) + `"}`, http.StatusRequestEntityTooLarge, "larger than"},
		"not JSON":               {"POST", "/v1/pools/tins/jobs", "alpha-token", `payload`, http.StatusBadRequest, "body:"},
		"job of another":         {"GET", "/v1/jobs/" + id, "beta-token", "", http.StatusNotFound, "has no job"},
		"cancel job of another":  {"DELETE", "/v1/jobs/" + id, "beta-token", "", http.StatusNotFound, "has no job"},
		"no such job":            {"GET", "/v1/jobs/none", "alpha-token", "", http.StatusNotFound, "has no job"},
		"no such path or method": {"PUT", "/v1/jobs/" + id, "alpha-token", "", http.StatusNotFound, "want POST"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p struct {
				Verdict rock.Verdict `json:"verdict"`
				Detail  string       `json:"detail"`
			}
			assert.Equal(t, e.call(c.method, c.path, c.token, c.body, &p), c.code)
			assert.Equal(t, p.Verdict, rock.NotRun)
			assert.Assert(t, strings.Contains(p.Detail, c.detail), "%s", p.Detail)
		})
	}
}

// TestQuotaOfJobs submits a job while the organisation's running jobs reach its
// quota.
func TestQuotaOfJobs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 8, nil)
	limited := f.configuration(2, f.hosts)
	limited.Limit("alpha", 2)
	f.config.Set(limited)
	e := f.start("e1")
	for range 2 {
		e.await(e.submit(fmt.Sprintf(jobFormat, false, endlessMS)), job.Running)
	}
	assert.Equal(t, e.call("POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":1}`, nil), http.StatusTooManyRequests)
}

// TestSubmissionWhoseAnswerIsLost loses the answer to the commit of a submission,
// and then the commit itself. Either way the job must exist and run once.
func TestSubmissionWhoseAnswerIsLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, nil)
	e := f.start("e1")
	for _, faults := range []depot.Faults{{LoseAnswers: 1}, {LoseCalls: 1}} {
		f.depot.SetFaults(faults)
		id := e.submit(fmt.Sprintf(jobFormat, false, 10))
		e.await(id, job.Done)
		assert.Equal(t, f.runs(id), 1)
	}
}
