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

func newRecord(kind rock.Kind, name string, schema int, version uint64, body string, args ...any) *rock.Record {
	r := rock.NewRecord(rock.NewKey(kind, name), schema, version, json.RawMessage(fmt.Sprintf(body, args...)))
	return &r
}

func newOrganisation(name, secret string) *rock.Record {
	return newRecord(rock.KindOrganisation, name, 1, 1,
		`{"quota":40,"tokens":[{"name":"line-4","digest":"%s","role":"caller"}]}`, record.Digest(secret))
}

func newPool(name, org string) *rock.Record {
	return newRecord(rock.KindPool, name, 1, 1, `{"organisation":"%s"}`, org)
}

func newHost(i int, pool string, generation int) *rock.Record {
	return newRecord(rock.KindHost, fmt.Sprintf("h%d", i), 1, 1,
		`{"address":"10.0.%d.%d:9000","zone":"z%d","rack":"r%d","pool":"%s","generation":%d,"slots":8,"open":true}`,
		i/250, i%250, i%8, i/4, pool, generation)
}

// newFleetRecords returns the records of n hosts, 27 pools and 570 organisations.
func newFleetRecords(n int) []rock.Record {
	var all []rock.Record
	for i := range 570 {
		all = append(all, *newOrganisation(fmt.Sprintf("o%d", i), fmt.Sprintf("secret-%d", i)))
	}
	for i := range 27 {
		all = append(all, *newPool(fmt.Sprintf("p%d", i), fmt.Sprintf("o%d", i)))
	}
	for i := range n {
		all = append(all, *newHost(i, fmt.Sprintf("p%d", i%27), 1))
	}
	return all
}

func newChange(revision rock.Revision, edits ...rock.Edit) rock.Change {
	return rock.NewChange(fmt.Sprintf("c%d", revision), revision, testTime, "operator", "test", edits)
}

func createEdit(r *rock.Record) rock.Edit     { return rock.NewEdit(r.Key(), nil, r) }
func deleteEdit(r *rock.Record) rock.Edit     { return rock.NewEdit(r.Key(), r, nil) }
func replaceEdit(a, b *rock.Record) rock.Edit { return rock.NewEdit(a.Key(), a, b) }

var _ rock.Fleet = (*feed.Config)(nil)
