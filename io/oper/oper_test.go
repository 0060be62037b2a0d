package oper_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/oper"
	"bramleyrock/io/probl"

	"gotest.tools/v3/assert"
)

// operatorAPI serves the operators' API on an in-memory platform.
type operatorAPI struct {
	t       *testing.T
	handler http.Handler
	depot   *depot.Depot
}

func newAPI(t *testing.T) *operatorAPI {
	d := depot.New(depot.Settings{})
	b := books.New(books.Settings{Table: d, Objects: d, Now: time.Now, BootstrapDigest: record.Digest("root")})
	return &operatorAPI{t: t, depot: d, handler: oper.New(oper.Settings{Books: b, Now: time.Now, MaxBody: 64 << 10})}
}

// call sends a request and returns the status code and the body.
func (api *operatorAPI) call(token, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	api.handler.ServeHTTP(w, r)
	assert.Assert(api.t, rock.Verdict(w.Header().Get(probl.VerdictHeader)).Valid())
	data, err := io.ReadAll(w.Body)
	assert.NilError(api.t, err)
	return w.Code, string(data)
}

// mustChange makes a change that must be accepted.
func (api *operatorAPI) mustChange(token, id string, records ...string) {
	api.t.Helper()
	code, body := api.change(token, id, records...)
	assert.Equal(api.t, code, 200, body)
}

// change sends a change of the records and returns the status code and the body.
func (api *operatorAPI) change(token, id string, records ...string) (int, string) {
	return api.call(token, "POST", "/v1/changes", fmt.Sprintf(`{"change_id":%q,"why":"test","records":[%s]}`, id, strings.Join(records, ",")))
}

// recordJSON returns a record of schema version 1 as JSON.
func recordJSON(kind, name string, version int, body string) string {
	return fmt.Sprintf(`{"kind":%q,"name":%q,"schema_version":1,"version":%d,"body":%s}`, kind, name, version, body)
}

// organisationJSON returns an organisation that has a caller, an operator and a
// reader, with the tokens NAME-caller, NAME-operator and NAME-read_only.
func organisationJSON(name string, version int) string {
	token := func(role string) string {
		return fmt.Sprintf(`{"name":%q,"digest":%q,"role":%q}`, role, record.Digest(name+"-"+role), role)
	}
	return recordJSON("organisation", name, version, fmt.Sprintf(`{"quota":4,"tokens":[%s,%s,%s]}`, token("caller"), token("operator"), token("read_only")))
}

func hostJSON(name, address, pool string, generation, version int) string {
	return recordJSON("host", name, version, fmt.Sprintf(`{"address":%q,"zone":"a","rack":"a1","pool":%q,"generation":%d,"slots":8,"open":true}`, address, pool, generation))
}

// newPopulatedAPI returns an API with the organisations alpha and beta, each of
// which has a pool with one host.
func newPopulatedAPI(t *testing.T) *operatorAPI {
	api := newAPI(t)
	api.mustChange("root", "c1", organisationJSON("alpha", 0), organisationJSON("beta", 0),
		recordJSON("pool", "tins", 0, `{"organisation":"alpha"}`), recordJSON("pool", "lids", 0, `{"organisation":"beta"}`),
		hostJSON("h1", "127.0.0.1:9001", "tins", 1, 0), hostJSON("h2", "127.0.0.1:9002", "lids", 1, 0))
	return api
}

// Guards against invalid or unauthorised requests that are accepted, or refused
// without naming the fault, and against any change of the records by them.
func TestBadInputIsRefusedAndLosesNothing(t *testing.T) {
	api := newPopulatedAPI(t)
	cases := map[string]struct {
		token, method, path, body string
		code                      int
		want                      string
	}{
		"no token":                {"", "GET", "/v1/records/pool", "", 401, "unauthenticated"},
		"wrong token":             {"guess", "POST", "/v1/changes", "{}", 401, "unauthenticated"},
		"reader writes":           {"alpha-read_only", "POST", "/v1/changes", "{}", 403, "forbidden"},
		"caller reads":            {"alpha-caller", "GET", "/v1/records/pool", "", 403, "forbidden"},
		"no JSON":                 {"root", "POST", "/v1/changes", "{", 400, "body"},
		"unknown field":           {"root", "POST", "/v1/changes", `{"change":1}`, 400, `unknown field`},
		"two objects":             {"root", "POST", "/v1/changes", `{} {}`, 400, "nothing after it"},
		"oversized":               {"root", "POST", "/v1/changes", `{"why":"` + strings.Repeat("x", 70_000) + `"}`, 413, "65536 bytes"},
		"unknown path":            {"root", "GET", "/v2/records", "", 404, "/v1/changes"},
		"unknown method":          {"root", "DELETE", "/v1/records/pool/tins", "", 404, "want GET"},
		"unknown kind":            {"root", "GET", "/v1/records/rack", "", 400, `unknown kind \"rack\"`},
		"name with slash":         {"root", "GET", "/v1/records/pool/a%2Fb", "", 400, "not allowed"},
		"control character":       {"root", "GET", "/v1/records/pool/a%00b", "", 400, "not allowed"},
		"missing":                 {"root", "GET", "/v1/records/pool/none", "", 404, "not_found"},
		"bad schema":              {"root", "GET", "/v1/records/pool?schema_version=x", "", 400, "schema_version"},
		"unknown schema":          {"root", "GET", "/v1/records/pool?schema_version=9", "", 406, "want 1 to 2"},
		"unknown parameter":       {"root", "GET", "/v1/changes?from=1", "", 400, "from"},
		"bad limit":               {"root", "GET", "/v1/changes?limit=0", "", 400, "1 to 10000"},
		"bad time":                {"root", "GET", "/v1/changes?since=now", "", 400, "since"},
		"unknown change":          {"root", "GET", "/v1/changes/none", "", 404, "not_found"},
		"bad address":             {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + hostJSON("h9", "localhost:1", "tins", 1, 0) + `]}`, 400, "field address"},
		"host moved manually":     {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + hostJSON("h1", "127.0.0.1:9001", "lids", 2, 1) + `]}`, 400, "want a move record"},
		"generation set manually": {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + hostJSON("h1", "127.0.0.1:9001", "tins", 2, 1) + `]}`, 400, "only a move changes it"},
		"two wrong bodies":        {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + recordJSON("host", "h7", 0, `{"slots":-1}`) + `,` + recordJSON("budget", "b1", 0, `{"pool":"x","min_available":-3}`) + `]}`, 400, "got -3"},
		"new move not pending":    {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + recordJSON("move", "m1", 0, `{"host":"h1","from":"tins","to":"lids","state":"released"}`) + `]}`, 400, "want \\\"wanted\\\""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, body := api.call(c.token, c.method, c.path, c.body)
			assert.Equal(t, code, c.code, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
			_, after := api.call("root", "GET", "/v1/changes", "")
			assert.Equal(t, strings.Count(after, `"change_id"`), 1)
		})
	}
}

// Guards against a version conflict whose problem body lacks the current or the
// proposed record, without which an operator cannot resolve it.
func TestConflictShowsBothSides(t *testing.T) {
	api := newPopulatedAPI(t)
	api.mustChange("root", "c2", recordJSON("pool", "tins", 1, `{"organisation":"alpha","spare":true}`))
	code, body := api.change("root", "c3", recordJSON("pool", "tins", 1, `{"organisation":"beta"}`))
	assert.Equal(t, code, 409)
	var p probl.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &p))
	assert.Equal(t, string(p.Current.Body()), `{"organisation":"alpha","spare":true}`)
	assert.Equal(t, string(p.Proposed.Body()), `{"organisation":"beta"}`)
	assert.Equal(t, p.Verdict, rock.NotRun)
}

// Guards against a token of one organisation that reads or changes records of
// another, also through the audit trail or the problem body of a conflict.
func TestOrganisationsAreKeptApart(t *testing.T) {
	api := newPopulatedAPI(t)
	for _, kind := range []string{"organisation", "pool", "host"} {
		_, body := api.call("alpha-read_only", "GET", "/v1/records/"+kind, "")
		var a struct{ Records []rock.Record }
		assert.NilError(t, json.Unmarshal([]byte(body), &a))
		assert.Equal(t, len(a.Records), 1, body)
	}
	code, _ := api.call("alpha-operator", "GET", "/v1/records/pool/lids", "")
	assert.Equal(t, code, 404)
	_, history := api.call("alpha-operator", "GET", "/v1/changes", "")
	assert.Assert(t, strings.Contains(history, "tins") && !strings.Contains(history, "lids"), history)

	api.mustChange("root", "c2", recordJSON("budget", "other", 0, `{"pool":"lids","min_available":1}`))
	api.mustChange("alpha-operator", "c3", recordJSON("budget", "own", 0, `{"pool":"tins","min_available":1}`))
	refused := map[string]string{
		"budget of another": recordJSON("budget", "b2", 0, `{"pool":"lids","min_available":1}`),
		"conflict not seen": recordJSON("budget", "other", 9, `{"pool":"tins","min_available":1}`),
		"own quota":         organisationJSON("alpha", 1),
		"own pool":          recordJSON("pool", "tins", 1, `{"organisation":"alpha","spare":true}`),
		"foreign host":      recordJSON("move", "m1", 0, `{"host":"h2","from":"lids","to":"tins","state":"wanted"}`),
	}
	for name, r := range refused {
		t.Run(name, func(t *testing.T) {
			code, body := api.change("alpha-operator", "c4", r)
			assert.Equal(t, code, 403, body)
			assert.Assert(t, !strings.Contains(body, "current"), body)
		})
	}
}

// Guards against query parameters of the audit trail that select other changes
// than documented.
func TestAuditIsFiltered(t *testing.T) {
	api := newPopulatedAPI(t)
	api.mustChange("alpha-operator", "c2", recordJSON("budget", "own", 0, `{"pool":"tins","min_available":1}`))
	api.mustChange("root", "c3", recordJSON("pool", "tins", 1, `{"organisation":"alpha","spare":true}`))
	cases := map[string][]string{
		"":                            {"c1", "c2", "c3"},
		"?limit=1":                    {"c3"},
		"?after=0&limit=2":            {"c1", "c2"},
		"?kind=pool&name=tins":        {"c1", "c3"},
		"?who=alpha%2Foperator":       {"c2"},
		"?change=c1":                  {"c1"},
		"?since=2999-01-01T00:00:00Z": {},
	}
	for query, want := range cases {
		t.Run(query, func(t *testing.T) {
			code, body := api.call("root", "GET", "/v1/changes"+query, "")
			assert.Equal(t, code, 200)
			var a struct{ Changes []rock.Change }
			assert.NilError(t, json.Unmarshal([]byte(body), &a))
			ids := []string{}
			for _, c := range a.Changes {
				ids = append(ids, c.ID())
			}
			assert.DeepEqual(t, ids, want)
		})
	}
	code, body := api.call("root", "GET", "/v1/changes/c2", "")
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, `"who":"alpha/operator"`))
}

// Guards against a dry run that writes its records.
func TestDryRun(t *testing.T) {
	api := newPopulatedAPI(t)
	code, body := api.call("root", "POST", "/v1/changes", `{"change_id":"c2","dry_run":true,"records":[`+hostJSON("h3", "127.0.0.1:9003", "tins", 1, 0)+`]}`)
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, `"dry_run":true`))
	code, _ = api.call("root", "GET", "/v1/records/host/h3", "")
	assert.Equal(t, code, 404)
}

// Guards against reads that fail while the platform is down, and against changes
// that are then refused without the verdict not_run.
func TestPlatformDown(t *testing.T) {
	api := newPopulatedAPI(t)
	api.depot.SetFaults(depot.Faults{Down: true})
	code, body := api.change("root", "c2", recordJSON("pool", "new", 0, `{"organisation":"alpha"}`))
	assert.Equal(t, code, 503)
	assert.Assert(t, strings.Contains(body, `"verdict":"not_run"`), body)
	code, _ = api.call("root", "GET", "/v1/records/pool", "")
	assert.Equal(t, code, 200)
}

// Guards against a response in another schema version than requested, and against
// a conversion that drops what the requested version cannot express.
func TestSchemaVersionsAreConvertedOrRefused(t *testing.T) {
	api := newPopulatedAPI(t)
	api.mustChange("root", "c2", `{"kind":"budget","name":"share","schema_version":2,"body":{"pool":"tins","min_available":{"share":0.8}}}`,
		`{"kind":"budget","name":"count","schema_version":2,"body":{"pool":"tins","min_available":{"count":8}}}`)
	cases := map[string]struct {
		path string
		code int
		want string
	}{
		"count as 1":      {"budget/count?schema_version=1", 200, `"min_available":8`},
		"count as 2":      {"budget/count?schema_version=2", 200, `"min_available":{"count":8}`},
		"count as stored": {"budget/count", 200, `"schema_version":1`},
		"share as 1":      {"budget/share?schema_version=1", 406, "min_available.share cannot be expressed"},
		"share as stored": {"budget/share", 200, `"min_available":{"share":0.8}`},
		"all as 1":        {"budget?schema_version=1", 406, "budget/share"},
		"all as 2":        {"budget?schema_version=2", 200, `"min_available":{"count":8}`},
		"pool as 2":       {"pool/tins?schema_version=2", 200, `"owner":{"organisation":"alpha"}`},
		"kind without 2":  {"host?schema_version=2", 406, "want 1 to 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, body := api.call("root", "GET", "/v1/records/"+c.path, "")
			assert.Equal(t, code, c.code, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
		})
	}
}
