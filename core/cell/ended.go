package cell

import "time"

// minEndedRetention is how long an ended job is remembered at least: several times the
// longest that a listing can be under way.
const minEndedRetention = 15 * time.Second

// endedSet remembers the jobs that have ended. The zero value is empty and ready to
// use.
type endedSet struct {
	jobs map[string]bool
	// expiring holds the jobs in the order in which they are forgotten.
	expiring []endedJob
}

// endedJob is a job and when it is forgotten.
type endedJob struct {
	id    string
	until time.Time
}

func (m *endedSet) contains(id string) bool { return m.jobs[id] }

// add remembers a job until then, and forgets those whose time has come.
func (m *endedSet) add(now, until time.Time, id string) {
	for len(m.expiring) > 0 && now.After(m.expiring[0].until) {
		delete(m.jobs, m.expiring[0].id)
		m.expiring = m.expiring[1:]
	}
	if m.jobs[id] {
		return
	}
	if m.jobs == nil {
		m.jobs = map[string]bool{}
	}
	m.jobs[id] = true
	m.expiring = append(m.expiring, endedJob{id, until})
}

// RecordEnded notes that a job has an outcome.
func (c *Cell) RecordEnded(now time.Time, id string) {
	c.endedIDs.add(now, now.Add(max(minEndedRetention, c.settings.EndedRetention)), id)
}

// HasEnded reports whether the job is known to have an outcome.
func (c *Cell) HasEnded(id string) bool { return c.endedIDs.contains(id) }
