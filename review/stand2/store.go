//go:build review2

package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

// storeRow is a version of a row. A deleted row has no value.
type storeRow struct {
	rowKey
	value   []byte
	version uint64
	deleted bool
}

// store is the metadata store of the platform.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow // all changes, oldest first
	version uint64
	changed chan struct{}
	// onStatus is called for each row that is written to the table status.
	onStatus func(key string, value []byte)
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]storeRow{}, changed: make(chan struct{}), version: 1000}
}

// Times that the store takes for its calls, as on the pages.
const (
	storeDelay  = 4 * time.Millisecond
	maxPageRows = 500
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTransaction(w, r)
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

type rowForm struct {
	Table string
	Part  string `json:"part"`
	Key   string
	Value string `json:",omitempty"`
	Ver   uint64
	// Tombstone marks a row that was deleted.
	Tombstone bool `json:",omitempty"`
}

func (r *storeRow) form() rowForm {
	return rowForm{Table: r.table, Part: r.part, Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), Ver: r.version, Tombstone: r.deleted}
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// apply applies changes, which the caller has checked. The caller holds the lock.
func (s *store) apply(changes []storeRow) {
	s.version++
	for _, c := range changes {
		c.version = s.version
		if c.deleted {
			if _, ok := s.rows[c.rowKey]; !ok {
				continue
			}
			delete(s.rows, c.rowKey)
		} else {
			s.rows[c.rowKey] = c
		}
		s.history = append(s.history, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{rowKey: rowKey{table, "", key}, value: data}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{rowKey: rowKey{table, "", key}, deleted: true}})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, SetKeys, DeleteKeys []rowForm }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.SetKeys)+len(t.DeleteKeys) > 100 {
		http.Error(w, "transaction cannot be read", http.StatusBadRequest)
		return
	}
	var changes []storeRow
	for _, f := range t.SetKeys {
		value, err := base64.StdEncoding.DecodeString(f.Value)
		if err != nil || len(f.Value) > 65536 || f.Table == "op" || f.Table == "servers" {
			http.Error(w, "row is refused", http.StatusForbidden)
			return
		}
		changes = append(changes, storeRow{rowKey: rowKey{f.Table, f.Part, f.Key}, value: value})
	}
	for _, f := range t.DeleteKeys {
		changes = append(changes, storeRow{rowKey: rowKey{f.Table, f.Part, f.Key}, deleted: true})
	}
	s.mu.Lock()
	var current []rowForm
	conflict := false
	for _, f := range t.Expected {
		row, ok := s.rows[rowKey{f.Table, f.Part, f.Key}]
		conflict = conflict || row.version != f.Ver
		if ok {
			current = append(current, row.form())
		}
	}
	if !conflict {
		s.apply(changes)
		for _, c := range changes {
			if c.table == "status" && s.onStatus != nil {
				go s.onStatus(c.key, c.value)
			}
		}
	}
	version := s.version
	s.mu.Unlock()
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "Ver": version, "NowMs": s.now()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"Ver": version, "NowMs": s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("From"), q.Get("To")
	s.mu.Lock()
	var list []storeRow
	for k, row := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			list = append(list, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeRow) int { return strings.Compare(a.key, b.key) })
	more := len(list) > maxPageRows
	list = list[:min(len(list), maxPageRows)]
	forms := []rowForm{}
	for i := range list {
		forms = append(forms, list[i].form())
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": forms, "HasMore": more, "Ver": version, "NowMs": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(row storeRow, v uint64) int {
			if row.version < v {
				return -1
			}
			return 1
		})
		forms := []rowForm{}
		version := s.version
		for i := first; i < len(s.history); i++ {
			if s.history[i].table != q.Get("Table") {
				continue
			}
			if len(forms) >= maxPageRows && s.history[i].version != version {
				break
			}
			forms = append(forms, s.history[i].form())
			version = s.history[i].version
		}
		if len(forms) < maxPageRows {
			version = s.version
		}
		changed := s.changed
		s.mu.Unlock()
		if len(forms) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": forms, "Ver": version, "NowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"rows": forms, "Ver": version, "NowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
