package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/front"
	"bramleyrock/io/probl"

	"gotest.tools/v3/assert"
)

// echoRunner answers each request with its payload and records it.
type echoRunner struct {
	requests []rock.Request
	err      error
}

func (e *echoRunner) Do(_ context.Context, r rock.Request) (rock.Answer, error) {
	e.requests = append(e.requests, r)
	return rock.NewAnswer(r.ID(), "h1", r.Payload()), e.err
}

// IssueKeys implements [rock.KeyIssuer].
func (e *echoRunner) IssueKeys(now time.Time, organisation string, count int) ([]string, time.Time, error) {
	return slices.Repeat([]string{organisation}, count), now, nil
}

func newHandler(e *echoRunner, l front.Limits) http.Handler {
	f := config.New(1, []rock.Pool{rock.NewPool("tins", "alpha", false), rock.NewPool("spare", "", true)}, nil)
	f.Admit("good", rock.NewIdentity("line-4", "alpha", rock.CallerRole))
	f.Admit("rival", rock.NewIdentity("line-1", "beta", rock.CallerRole))
	f.Admit("reader", rock.NewIdentity("screen", "alpha", rock.ReaderRole))
	return front.New(front.Settings{Runner: e, Keys: e, Fleet: config.NewSource(f), Limits: l, NewID: func() string { return "r1" }})
}

func post(h http.Handler, path, token, body string) *http.Response {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

func TestAnswer(t *testing.T) {
	e := &echoRunner{}
	resp := post(newHandler(e, front.Limits{}), "/v1/pools/tins/requests", "good", `{"payload":{"line":4},"class":"urgent","timeout_ms":900,"idempotent":true}`)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get(probl.VerdictHeader), "ran")
	assert.Equal(t, string(body), `{"request_id":"r1","verdict":"ran","host":"h1","payload":{"line":4}}`)
	assert.Equal(t, e.requests[0].Organisation(), "alpha")
	assert.Equal(t, e.requests[0].Class(), rock.Urgent)
	assert.Assert(t, e.requests[0].Idempotent())
}

func TestRefusals(t *testing.T) {
	const path, fine = "/v1/pools/tins/requests", `{"payload":1}`
	cases := map[string]struct {
		path, token, body string
		reason            rock.Reason
	}{
		"unknown token":       {path, "bad", fine, rock.Unauthenticated},
		"no token":            {path, "", fine, rock.Unauthenticated},
		"reader":              {path, "reader", fine, rock.Forbidden},
		"rival's pool":        {path, "rival", fine, rock.NotFound},
		"no such pool":        {"/v1/pools/none/requests", "good", fine, rock.NotFound},
		"control character":   {"/v1/pools/t%00ins/requests", "good", fine, rock.NotFound},
		"no such path":        {"/v1/tins", "good", fine, rock.NotFound},
		"malformed":           {path, "good", `{"payload":`, rock.BadInput},
		"empty":               {path, "good", ``, rock.BadInput},
		"two objects":         {path, "good", fine + fine, rock.BadInput},
		"unknown field":       {path, "good", `{"payload":1,"urgent":true}`, rock.BadInput},
		"no payload":          {path, "good", `{}`, rock.BadInput},
		"unknown class":       {path, "good", `{"payload":1,"class":"vip"}`, rock.BadInput},
		"negative timeout":    {path, "good", `{"payload":1,"timeout_ms":-1}`, rock.BadInput},
		"timeout of a day":    {path, "good", `{"payload":1,"timeout_ms":86400000}`, rock.BadInput},
		"long key":            {path, "good", `{"payload":1,"idempotency_key":"` + strings.Repeat("k", 600) + `"}`, rock.BadInput},
		"body over the limit": {path, "good", `{"payload":"` + strings.Repeat("x", 2000) + `"}`, rock.TooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &echoRunner{}
			err := probl.Read(post(newHandler(e, front.Limits{MaxBodyBytes: 1000}), c.path, c.token, c.body))
			assert.Equal(t, rock.ReasonOf(err), c.reason)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
			assert.Equal(t, len(e.requests), 0)
		})
	}
}

// TestUnservedPoolLooksMissing compares the errors for a pool of another
// organisation and for a pool that does not exist. A difference would tell the
// caller which pools exist.
func TestUnservedPoolLooksMissing(t *testing.T) {
	h := newHandler(&echoRunner{}, front.Limits{})
	other := probl.Read(post(h, "/v1/pools/tins/requests", "rival", `{"payload":1}`)).Error()
	none := probl.Read(post(h, "/v1/pools/nils/requests", "rival", `{"payload":1}`)).Error()
	assert.Equal(t, strings.ReplaceAll(other, "tins", "P"), strings.ReplaceAll(none, "nils", "P"))
}

// TestLargeAnswerIsRefusedAsRan checks the verdict for an answer that is too
// large: the request has run, so not_run would be wrong.
func TestLargeAnswerIsRefusedAsRan(t *testing.T) {
	body, err := json.Marshal(map[string]string{"payload": strings.Repeat("x", 100)})
	assert.NilError(t, err)
	err = probl.Read(post(newHandler(&echoRunner{}, front.Limits{MaxAnswerBytes: 10}), "/v1/pools/spare/requests", "rival", string(body)))
	assert.Equal(t, rock.ReasonOf(err), rock.TooLarge)
	assert.Equal(t, rock.VerdictOf(err), rock.Ran)
}

func TestNoConfigurationIsNotRun(t *testing.T) {
	h := front.New(front.Settings{Runner: &echoRunner{}, Fleet: &config.Source{}})
	err := probl.Read(post(h, "/v1/pools/tins/requests", "good", `{"payload":1}`))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestKeysAreForTheCallersOrganisation(t *testing.T) {
	resp := post(newHandler(&echoRunner{}, front.Limits{}), "/v1/keys", "good", `{"count":2}`)
	var got struct {
		Keys []string `json:"keys"`
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
	assert.DeepEqual(t, got.Keys, []string{"alpha", "alpha"})
	err := probl.Read(post(newHandler(&echoRunner{}, front.Limits{}), "/v1/keys", "reader", `{"count":2}`))
	assert.Equal(t, rock.ReasonOf(err), rock.Forbidden)
}
