//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits and times of the platform's store, from the pages and the settings.
const (
	maxEntries = 100
	maxCall    = 1 << 20
	rowBytes   = 65536
	pageRows   = 500
	pageBytes  = 1 << 20
	answerTime = 4 * time.Millisecond
	txTime     = 3 * time.Millisecond
	writesPerS = 800
	readsPerS  = 2000
)

// row is a row of the store. Value is base64.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     string `json:"Value,omitempty"`
	Ver       uint64 `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// transaction is the body of a rows-tx call.
type transaction struct {
	Expected, SetKeys, DeleteKeys []row
	Across                        bool
}

// store is a stand-in for the platform's table.
type store struct {
	log *recorder

	mu      sync.Mutex
	rows    map[rowID]row
	history map[string][]row // by table
	ver     uint64
	changed chan struct{}
	started time.Time
	second  int64
	writes  int
	reads   int

	// lose says how long after its arrival a transaction is carried out without an
	// answer, or 0 if it is answered. The caller holds the lock.
	lose func(t *transaction) time.Duration
	// tooLarge counts the calls that were refused because of a limit on sizes.
	tooLarge int
}

func newStore(log *recorder) *store {
	return &store{log: log, rows: map[rowID]row{}, history: map[string][]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.change(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data), Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.change(row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.notify()
}

func (s *store) change(r row) {
	if r.Tombstone {
		if _, ok := s.rows[r.id()]; !ok {
			return
		}
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history[r.Table] = append(s.history[r.Table], r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and reports whether the rate allows it.
func (s *store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r.URL.Path == "/-/rows-tx") {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-parts":
		s.parts(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(t.Expected)+len(t.SetKeys)+len(t.DeleteKeys) > maxEntries || r.ContentLength > maxCall {
		s.refuse(w, "the call exceeds 100 entries or 1 MB")
		return
	}
	for _, c := range t.SetKeys {
		if c.Table == "op" || c.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
		data, err := base64.StdEncoding.DecodeString(c.Value)
		if err != nil || len(data) > rowBytes { // the bytes count, not their base64, which is the wider reading
			s.refuse(w, "the value of "+c.Table+" "+c.Part+" "+c.Key+" has "+strconv.Itoa(len(data))+" bytes, RowBytes is "+strconv.Itoa(rowBytes))
			return
		}
	}
	s.mu.Lock()
	var late time.Duration
	if s.lose != nil {
		late = s.lose(&t)
	}
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { s.apply(&t) })
		<-r.Context().Done()
		return
	}
	time.Sleep(txTime)
	held, current, ver := s.apply(&t)
	if !held {
		s.respond(w, http.StatusPreconditionFailed, current, false, ver)
		return
	}
	s.respond(w, http.StatusOK, nil, false, ver)
}

func (s *store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	s.tooLarge++
	n := s.tooLarge
	s.mu.Unlock()
	if n <= 5 || n%50 == 0 {
		s.log.printf("store", "refuses write %d that is too large: %s", n, why)
	}
	http.Error(w, why, http.StatusRequestEntityTooLarge)
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(t *transaction) (held bool, current []row, ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = true
	for _, e := range t.Expected {
		c := s.rows[e.id()]
		held = held && c.Ver == e.Ver
		if c.Ver > 0 {
			current = append(current, c)
		}
	}
	if !held {
		return false, current, s.ver
	}
	s.ver++
	for _, c := range t.SetKeys {
		c.Ver = s.ver
		s.change(c)
	}
	for _, c := range t.DeleteKeys {
		c.Ver, c.Tombstone, c.Value = s.ver, true, ""
		s.change(c)
	}
	s.notify()
	return true, nil, s.ver
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "HasMore": more, "Ver": ver, "NowMs": time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			rows = append(rows, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i := range rows {
		size += len(rows[i].Value) + len(rows[i].Key) + 100
		if i > 0 && (i >= limit || size > pageBytes) {
			s.respond(w, http.StatusOK, rows[:i], true, ver)
			return
		}
	}
	s.respond(w, http.StatusOK, rows, false, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		h := s.history[q.Get("Table")]
		i := sort.Search(len(h), func(i int) bool { return h[i].Ver > after })
		rows := slices.Clone(h[i:])
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.respond(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	set := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("Table") && k.part > q.Get("After") {
			set[k.part] = true
		}
	}
	s.mu.Unlock()
	var parts []string
	for p := range set {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts[:min(len(parts), 1000)], "HasMore": len(parts) > 1000})
}
