package cell

import "time"

// minEndedRetention is the least time for which the IDs of ended jobs are kept,
// several times the longest time that a listing of jobs takes.
const minEndedRetention = 15 * time.Second

// endedSet is a set of the IDs of ended jobs, each of which expires. The zero
// value is an empty set.
type endedSet struct {
	jobs map[string]bool
	// expiring holds the jobs in the order in which they expire.
	expiring []endedJob
}

// endedJob is the ID of an ended job and when it expires.
type endedJob struct {
	id    string
	until time.Time
}

func (m *endedSet) contains(id string) bool { return m.jobs[id] }

// add adds a job that expires at the given time, and removes expired jobs.
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

// RecordEnded records that a job has an outcome, so that it is not added again.
func (c *Cell) RecordEnded(now time.Time, id string) {
	c.endedIDs.add(now, now.Add(max(minEndedRetention, c.settings.EndedRetention)), id)
}

// HasEnded reports whether the job is known to have an outcome.
func (c *Cell) HasEnded(id string) bool { return c.endedIDs.contains(id) }
