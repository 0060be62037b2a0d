package cell

import "time"

// leastMemory is how long an ended job is remembered at least: several times the
// longest that a listing can be under way.
const leastMemory = 15 * time.Second

// memory remembers the jobs that have ended. The zero value is empty and ready to
// use.
type memory struct {
	jobs map[string]bool
	// ended holds the jobs in the order in which they are forgotten.
	ended []endedJob
}

// endedJob is a job and when it is forgotten.
type endedJob struct {
	id    string
	until time.Time
}

func (m *memory) has(id string) bool { return m.jobs[id] }

// add remembers a job until then, and forgets those whose time has come.
func (m *memory) add(now, until time.Time, id string) {
	for len(m.ended) > 0 && now.After(m.ended[0].until) {
		delete(m.jobs, m.ended[0].id)
		m.ended = m.ended[1:]
	}
	if m.jobs[id] {
		return
	}
	if m.jobs == nil {
		m.jobs = map[string]bool{}
	}
	m.jobs[id] = true
	m.ended = append(m.ended, endedJob{id, until})
}

// RecordEnded notes that a job has an outcome.
func (c *Cell) RecordEnded(now time.Time, id string) {
	c.over.add(now, now.Add(max(leastMemory, c.settings.EndedRetention)), id)
}

// HasEnded reports whether the job is known to have an outcome.
func (c *Cell) HasEnded(id string) bool { return c.over.has(id) }
