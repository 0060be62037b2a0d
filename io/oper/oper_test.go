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

// site is an operator door on an empty platform.
type site struct {
	t       *testing.T
	handler http.Handler
	depot   *depot.Depot
}

func newSite(t *testing.T) *site {
	d := depot.New(depot.Settings{})
	b := books.New(books.Settings{Table: d, Objects: d, Now: time.Now, BootstrapDigest: record.Digest("root")})
	return &site{t: t, depot: d, handler: oper.New(oper.Settings{Books: b, Now: time.Now, MaxBody: 64 << 10})}
}

// call makes a call and returns the status and the body.
func (s *site) call(token, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	assert.Assert(s.t, rock.Verdict(w.Header().Get(probl.VerdictHeader)).Valid())
	data, err := io.ReadAll(w.Body)
	assert.NilError(s.t, err)
	return w.Code, string(data)
}

// must makes a change that must be accepted.
func (s *site) must(token, id string, records ...string) {
	s.t.Helper()
	code, body := s.change(token, id, records...)
	assert.Equal(s.t, code, 200, body)
}

func (s *site) change(token, id string, records ...string) (int, string) {
	return s.call(token, "POST", "/v1/changes", fmt.Sprintf(`{"change_id":%q,"why":"test","records":[%s]}`, id, strings.Join(records, ",")))
}

func rec(kind, name string, version int, body string) string {
	return fmt.Sprintf(`{"kind":%q,"name":%q,"schema_version":1,"version":%d,"body":%s}`, kind, name, version, body)
}

func org(name string, version int) string {
	token := func(role string) string {
		return fmt.Sprintf(`{"name":%q,"digest":%q,"role":%q}`, role, record.Digest(name+"-"+role), role)
	}
	return rec("organisation", name, version, fmt.Sprintf(`{"quota":4,"tokens":[%s,%s,%s]}`, token("caller"), token("operator"), token("read_only")))
}

func host(name, address, pool string, generation, version int) string {
	return rec("host", name, version, fmt.Sprintf(`{"address":%q,"zone":"a","rack":"a1","pool":%q,"generation":%d,"slots":8,"open":true}`, address, pool, generation))
}

// filled returns a site with two organisations that compete.
func filled(t *testing.T) *site {
	s := newSite(t)
	s.must("root", "c1", org("alpha", 0), org("beta", 0),
		rec("pool", "tins", 0, `{"organisation":"alpha"}`), rec("pool", "lids", 0, `{"organisation":"beta"}`),
		host("h1", "127.0.0.1:9001", "tins", 1, 0), host("h2", "127.0.0.1:9002", "lids", 1, 0))
	return s
}

func TestBadInputIsRefusedAndLosesNothing(t *testing.T) {
	s := filled(t)
	cases := map[string]struct {
		token, method, path, body string
		code                      int
		want                      string
	}{
		"no token":           {"", "GET", "/v1/records/pool", "", 401, "unauthenticated"},
		"wrong token":        {"guess", "POST", "/v1/changes", "{}", 401, "unauthenticated"},
		"reader writes":      {"alpha-read_only", "POST", "/v1/changes", "{}", 403, "forbidden"},
		"caller reads":       {"alpha-caller", "GET", "/v1/records/pool", "", 403, "forbidden"},
		"no JSON":            {"root", "POST", "/v1/changes", "{", 400, "body"},
		"unknown field":      {"root", "POST", "/v1/changes", `{"change":1}`, 400, `unknown field`},
		"two objects":        {"root", "POST", "/v1/changes", `{} {}`, 400, "nothing after it"},
		"oversized":          {"root", "POST", "/v1/changes", `{"why":"` + strings.Repeat("x", 70_000) + `"}`, 413, "65536 bytes"},
		"unknown path":       {"root", "GET", "/v2/records", "", 404, "/v1/changes"},
		"unknown method":     {"root", "DELETE", "/v1/records/pool/tins", "", 404, "want GET"},
		"unknown kind":       {"root", "GET", "/v1/records/rack", "", 400, `unknown kind \"rack\"`},
		"name with slash":    {"root", "GET", "/v1/records/pool/a%2Fb", "", 400, "not allowed"},
		"control character":  {"root", "GET", "/v1/records/pool/a%00b", "", 400, "not allowed"},
		"missing":            {"root", "GET", "/v1/records/pool/none", "", 404, "not_found"},
		"bad schema":         {"root", "GET", "/v1/records/pool?schema_version=x", "", 400, "schema_version"},
		"unknown schema":     {"root", "GET", "/v1/records/pool?schema_version=9", "", 406, "want 1 to 2"},
		"unknown parameter":  {"root", "GET", "/v1/changes?from=1", "", 400, "from"},
		"bad limit":          {"root", "GET", "/v1/changes?limit=0", "", 400, "1 to 10000"},
		"bad time":           {"root", "GET", "/v1/changes?since=now", "", 400, "since"},
		"unknown change":     {"root", "GET", "/v1/changes/none", "", 404, "not_found"},
		"bad address":        {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + host("h9", "localhost:1", "tins", 1, 0) + `]}`, 400, "field address"},
		"host moved by hand": {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + host("h1", "127.0.0.1:9001", "lids", 2, 1) + `]}`, 400, "want a move record"},
		"generation by hand": {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + host("h1", "127.0.0.1:9001", "tins", 2, 1) + `]}`, 400, "only a move changes it"},
		"two wrong bodies":   {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + rec("host", "h7", 0, `{"slots":-1}`) + `,` + rec("budget", "b1", 0, `{"pool":"x","min_available":-3}`) + `]}`, 400, "got -3"},
		"move begun halfway": {"root", "POST", "/v1/changes", `{"change_id":"x","records":[` + rec("move", "m1", 0, `{"host":"h1","from":"tins","to":"lids","state":"released"}`) + `]}`, 400, "want \\\"wanted\\\""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, body := s.call(c.token, c.method, c.path, c.body)
			assert.Equal(t, code, c.code, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
			_, after := s.call("root", "GET", "/v1/changes", "")
			assert.Equal(t, strings.Count(after, `"change_id"`), 1)
		})
	}
}

func TestConflictShowsBothSides(t *testing.T) {
	s := filled(t)
	s.must("root", "c2", rec("pool", "tins", 1, `{"organisation":"alpha","spare":true}`))
	code, body := s.change("root", "c3", rec("pool", "tins", 1, `{"organisation":"beta"}`))
	assert.Equal(t, code, 409)
	var p probl.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &p))
	assert.Equal(t, string(p.Current.Body()), `{"organisation":"alpha","spare":true}`)
	assert.Equal(t, string(p.Proposed.Body()), `{"organisation":"beta"}`)
	assert.Equal(t, p.Verdict, rock.NotRun)
}

func TestOrganisationsAreKeptApart(t *testing.T) {
	s := filled(t)
	for _, kind := range []string{"organisation", "pool", "host"} {
		_, body := s.call("alpha-read_only", "GET", "/v1/records/"+kind, "")
		var a struct{ Records []rock.Record }
		assert.NilError(t, json.Unmarshal([]byte(body), &a))
		assert.Equal(t, len(a.Records), 1, body)
	}
	code, _ := s.call("alpha-operator", "GET", "/v1/records/pool/lids", "")
	assert.Equal(t, code, 404)
	_, history := s.call("alpha-operator", "GET", "/v1/changes", "")
	assert.Assert(t, strings.Contains(history, "tins") && !strings.Contains(history, "lids"), history)

	s.must("root", "c2", rec("budget", "other", 0, `{"pool":"lids","min_available":1}`))
	s.must("alpha-operator", "c3", rec("budget", "own", 0, `{"pool":"tins","min_available":1}`))
	refused := map[string]string{
		"budget of another": rec("budget", "b2", 0, `{"pool":"lids","min_available":1}`),
		"conflict not seen": rec("budget", "other", 9, `{"pool":"tins","min_available":1}`),
		"own quota":         org("alpha", 1),
		"own pool":          rec("pool", "tins", 1, `{"organisation":"alpha","spare":true}`),
		"foreign host":      rec("move", "m1", 0, `{"host":"h2","from":"lids","to":"tins","state":"wanted"}`),
	}
	for name, r := range refused {
		t.Run(name, func(t *testing.T) {
			code, body := s.change("alpha-operator", "c4", r)
			assert.Equal(t, code, 403, body)
			assert.Assert(t, !strings.Contains(body, "current"), body)
		})
	}
}

func TestAuditIsFiltered(t *testing.T) {
	s := filled(t)
	s.must("alpha-operator", "c2", rec("budget", "own", 0, `{"pool":"tins","min_available":1}`))
	s.must("root", "c3", rec("pool", "tins", 1, `{"organisation":"alpha","spare":true}`))
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
			code, body := s.call("root", "GET", "/v1/changes"+query, "")
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
	code, body := s.call("root", "GET", "/v1/changes/c2", "")
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, `"who":"alpha/operator"`))
}

func TestDryRun(t *testing.T) {
	s := filled(t)
	code, body := s.call("root", "POST", "/v1/changes", `{"change_id":"c2","dry_run":true,"records":[`+host("h3", "127.0.0.1:9003", "tins", 1, 0)+`]}`)
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, `"dry_run":true`))
	code, _ = s.call("root", "GET", "/v1/records/host/h3", "")
	assert.Equal(t, code, 404)
}

func TestPlatformDown(t *testing.T) {
	s := filled(t)
	s.depot.SetFaults(depot.Faults{Down: true})
	code, body := s.change("root", "c2", rec("pool", "new", 0, `{"organisation":"alpha"}`))
	assert.Equal(t, code, 503)
	assert.Assert(t, strings.Contains(body, `"verdict":"not_run"`), body)
	code, _ = s.call("root", "GET", "/v1/records/pool", "")
	assert.Equal(t, code, 200)
}

func TestSchemaVersionsAreConvertedOrRefused(t *testing.T) {
	s := filled(t)
	s.must("root", "c2", `{"kind":"budget","name":"share","schema_version":2,"body":{"pool":"tins","min_available":{"share":0.8}}}`,
		`{"kind":"budget","name":"count","schema_version":2,"body":{"pool":"tins","min_available":{"count":8}}}`)
	cases := map[string]struct {
		path string
		code int
		want string
	}{
		"count as 1":     {"budget/count?schema_version=1", 200, `"min_available":8`},
		"count as 2":     {"budget/count?schema_version=2", 200, `"min_available":{"count":8}`},
		"count as kept":  {"budget/count", 200, `"schema_version":1`},
		"share as 1":     {"budget/share?schema_version=1", 406, "min_available.share cannot be expressed"},
		"share as kept":  {"budget/share", 200, `"min_available":{"share":0.8}`},
		"all as 1":       {"budget?schema_version=1", 406, "budget/share"},
		"all as 2":       {"budget?schema_version=2", 200, `"min_available":{"count":8}`},
		"pool as 2":      {"pool/tins?schema_version=2", 200, `"owner":{"organisation":"alpha"}`},
		"kind without 2": {"host?schema_version=2", 406, "want 1 to 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, body := s.call("root", "GET", "/v1/records/"+c.path, "")
			assert.Equal(t, code, c.code, body)
			assert.Assert(t, strings.Contains(body, c.want), body)
		})
	}
}
