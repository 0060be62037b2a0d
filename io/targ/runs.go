package targ

import (
	"sync"
	"time"
)

// probeParts is the number of times in a probe interval that the runs are
// looked through.
const probeParts = 4

// runs is the set of runs with an outstanding call. The zero value is empty and
// ready to use; it is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all map[*run]bool
}

// add adds a run.
func (s *runs) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*run]bool{}
	}
	s.all[r] = true
}

// remove removes a run, if it is there.
func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, r)
}

// overdue returns the runs about which a question is to be asked.
func (s *runs) overdue(now time.Time) []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*run
	for r := range s.all {
		if r.overdue(now) {
			due = append(due, r)
		}
	}
	return due
}
