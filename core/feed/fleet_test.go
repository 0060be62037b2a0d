package feed_test

import (
	"encoding/json"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"
)

var testTime = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func rec(kind rock.Kind, name string, schema int, version uint64, body string, args ...any) *rock.Record {
	r := rock.NewRecord(rock.NewKey(kind, name), schema, version, json.RawMessage(fmt.Sprintf(body, args...)))
	return &r
}

func org(name, secret string) *rock.Record {
	return rec(rock.KindOrganisation, name, 1, 1,
		`{"quota":40,"tokens":[{"name":"line-4","digest":"%s","role":"caller"}]}`, record.Digest(secret))
}

func pool(name, org string) *rock.Record {
	return rec(rock.KindPool, name, 1, 1, `{"organisation":"%s"}`, org)
}

func host(i int, pool string, generation int) *rock.Record {
	return rec(rock.KindHost, fmt.Sprintf("h%d", i), 1, 1,
		`{"address":"10.0.%d.%d:9000","zone":"z%d","rack":"r%d","pool":"%s","generation":%d,"slots":8,"open":true}`,
		i/250, i%250, i%8, i/4, pool, generation)
}

// fleet returns n hosts in 27 pools of 570 organisations.
func fleet(n int) []rock.Record {
	var all []rock.Record
	for i := range 570 {
		all = append(all, *org(fmt.Sprintf("o%d", i), fmt.Sprintf("secret-%d", i)))
	}
	for i := range 27 {
		all = append(all, *pool(fmt.Sprintf("p%d", i), fmt.Sprintf("o%d", i)))
	}
	for i := range n {
		all = append(all, *host(i, fmt.Sprintf("p%d", i%27), 1))
	}
	return all
}

func change(revision rock.Revision, edits ...rock.Edit) rock.Change {
	return rock.NewChange(fmt.Sprintf("c%d", revision), revision, testTime, "operator", "test", edits)
}

func create(r *rock.Record) rock.Edit     { return rock.NewEdit(r.Key(), nil, r) }
func remove(r *rock.Record) rock.Edit     { return rock.NewEdit(r.Key(), r, nil) }
func replace(a, b *rock.Record) rock.Edit { return rock.NewEdit(a.Key(), a, b) }

var _ rock.Fleet = (*feed.Config)(nil)
