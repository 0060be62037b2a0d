package record_test

import (
	"encoding/json"
	"strings"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/record"

	"gotest.tools/v3/assert"
)

func newRecord(kind rock.Kind, schema int, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, "x1"), schema, 0, json.RawMessage(body))
}

func TestDecodeNamesInvalidFields(t *testing.T) {
	cases := map[string]struct {
		record rock.Record
		want   []string
	}{
		"no object":            {newRecord(rock.KindPool, 1, `[1]`), []string{"got [1]", "JSON object"}},
		"truncated body":       {newRecord(rock.KindPool, 1, `{"spare":`), []string{"unexpected end"}},
		"schema missing":       {newRecord(rock.KindPool, 0, `{}`), []string{"schema_version", "1 to 2"}},
		"schema unknown":       {newRecord(rock.KindHost, 2, `{}`), []string{"schema_version", "got 2"}},
		"pool without owner":   {newRecord(rock.KindPool, 1, `{}`), []string{"field organisation: missing"}},
		"two owners":           {newRecord(rock.KindPool, 2, `{"owner":{"organisation":"a","shared":true}}`), []string{"field owner"}},
		"negative budget":      {newRecord(rock.KindBudget, 1, `{"pool":"tins","min_available":-3}`), []string{"min_available", "-3", "0 to 100000"}},
		"fraction of a host":   {newRecord(rock.KindBudget, 1, `{"pool":"tins","min_available":7.5}`), []string{"min_available", "7.5"}},
		"share above one":      {newRecord(rock.KindBudget, 2, `{"pool":"tins","min_available":{"share":1.2}}`), []string{"min_available.share", "1.2"}},
		"count and share":      {newRecord(rock.KindBudget, 2, `{"pool":"tins","min_available":{"share":1,"count":1}}`), []string{"min_available"}},
		"two wrong fields":     {newRecord(rock.KindHost, 1, `{"zone":"A!","slots":"8","address":"x"}`), []string{"field zone", "field slots"}},
		"null":                 {newRecord(rock.KindBudget, 1, `{"pool":null,"min_available":1}`), []string{"field pool: got null"}},
		"unknown state":        {newRecord(rock.KindMove, 1, `{"host":"h1","from":"a","to":"b","state":"lost"}`), []string{"state", "wanted"}},
		"move to itself":       {newRecord(rock.KindMove, 1, `{"host":"h1","from":"a","to":"a","state":"wanted"}`), []string{"field to"}},
		"wave of a pool twice": {newRecord(rock.KindWave, 1, `{"pools":["a","a"],"action":"reboot","state":"planned","max_parallel":1}`), []string{"pools[1]"}},
		"token twice": {newRecord(rock.KindOrganisation, 1, `{"tokens":[{"name":"t","digest":"`+record.Digest("a")+`","role":"caller"},{"name":"t","digest":"`+record.Digest("b")+`","role":"caller"}]}`),
			[]string{"tokens[1].name"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := record.Decode(c.record)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
			for _, w := range c.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
}

// TestDecodeErrorHidesSecret guards against the disclosure of a secret that an
// operator enters in place of its digest.
func TestDecodeErrorHidesSecret(t *testing.T) {
	_, err := record.Decode(newRecord(rock.KindOrganisation, 1, `{"tokens":[{"name":"t","digest":"my-secret","role":"caller"}]}`))
	assert.ErrorContains(t, err, "tokens[0].digest")
	assert.Assert(t, !strings.Contains(err.Error(), "my-secret"))
}

// TestUnknownFieldsAreWrittenBack guards against the loss of fields that a newer
// program added to a record when this program writes the record.
func TestUnknownFieldsAreWrittenBack(t *testing.T) {
	cases := map[string]rock.Record{
		"organisation": newRecord(rock.KindOrganisation, 1, `{"quota":3,"tokens":[{"name":"t","digest":"`+record.Digest("a")+`","role":"caller","expires":"never"}],"tier":{"a":[1]}}`),
		"pool":         newRecord(rock.KindPool, 2, `{"owner":{"shared":true,"by":"x"},"spare":true,"max_slots":8,"new":1e400}`),
		"host":         newRecord(rock.KindHost, 1, `{"address":"10.0.0.1:1","zone":"a","rack":"r","pool":"","generation":1,"slots":8,"open":true,"gpu":true}`),
		"budget":       newRecord(rock.KindBudget, 2, `{"pool":"tins","min_available":{"share":0.80000000000000000001,"round":"up"},"x":null}`),
		"move":         newRecord(rock.KindMove, 1, `{"host":"h1","from":"a","to":"b","state":"wanted","since":"2026-01-31T08:15:00Z","y":[]}`),
		"wave":         newRecord(rock.KindWave, 1, `{"pools":["a"],"action":"reboot","state":"planned","max_parallel":1,"done":["h1"]}`),
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			b, err := record.Decode(r)
			assert.NilError(t, err)
			body, err := b.Encode(r.Schema())
			assert.NilError(t, err)
			assert.DeepEqual(t, parseJSON(t, body), parseJSON(t, r.Body()))
		})
	}
}

// parseJSON decodes a JSON value and keeps its numbers as text, so that numbers that
// a float64 cannot represent are compared exactly.
func parseJSON(t assert.TestingT, data []byte) any {
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.UseNumber()
	var v any
	assert.NilError(t, d.Decode(&v))
	return v
}

func TestMinHosts(t *testing.T) {
	cases := map[string]struct {
		limit record.Limit
		hosts int
		want  int
	}{
		"count":            {record.CountLimit(8), 3, 8},
		"share rounds up":  {record.ShareLimit(0.75), 10, 8},
		"binary fractions": {record.ShareLimit(0.7), 10, 7},
		"none":             {record.ShareLimit(0), 10, 0},
		"empty pool":       {record.ShareLimit(1), 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.limit.MinHosts(c.hosts), c.want) })
	}
}

// FuzzDecode checks that a record of any content is either refused or can be encoded,
// and that decoding and encoding it again does not change the JSON.
func FuzzDecode(f *testing.F) {
	f.Add("pool", 1, `{"organisation":"alpha","spare":false}`)
	f.Add("budget", 2, `{"pool":"tins","min_available":{"share":0.8},"max_away_per_rack":1}`)
	f.Add("host", 1, `{"address":"127.0.0.1:9000","zone":"a","rack":"a1","pool":"tins","generation":1,"slots":8,"open":true}`)
	f.Add("organisation", 1, `{"quota":40,"tokens":[{"name":"t","digest":"x","role":"caller"}]}`)
	f.Add("move", 1, `{"host":"h1","from":"a","to":"b","state":"wanted"}`)
	f.Add("wave", 1, `{"pools":["a"],"action":"reboot","state":"planned","max_parallel":1}`)
	f.Fuzz(func(t *testing.T, kind string, schema int, body string) {
		r := rock.NewRecord(rock.NewKey(rock.Kind(kind), "x1"), schema, 0, json.RawMessage(body))
		b, err := record.Decode(r)
		if err != nil {
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
			return
		}
		data, err := b.Encode(schema)
		assert.NilError(t, err)
		again, err := record.Decode(rock.NewRecord(r.Key(), schema, 0, data))
		assert.NilError(t, err)
		twice, err := again.Encode(schema)
		assert.NilError(t, err)
		assert.Equal(t, string(twice), string(data))
	})
}
