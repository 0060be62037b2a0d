package tenure

import "time"

// Challenger is what a challenger knows of the ownership of a cell. The zero value knows
// nothing.
type Challenger struct {
	homes  [HomeCount]HomeView
	record Record
}

// ObserveOwner notes who owns a home, as its row of that version tells.
func (c *Challenger) ObserveOwner(now time.Time, home int, owner Owner, version uint64) {
	_, beat := c.homes[home].Versions()
	c.homes[home].Observe(now, owner, version, beat)
}

// ObserveRenewal notes a renewal, as the home's row of that version tells.
func (c *Challenger) ObserveRenewal(now time.Time, home int, r Record, version uint64) {
	t := &c.homes[home]
	owner, _ := t.Versions()
	t.Observe(now, t.Owner(), owner, version)
	if r.NewerThan(c.record) {
		c.record = r
	}
}

// ObserveEmpty notes that a home was read and has no rows, unless it is known.
func (c *Challenger) ObserveEmpty(now time.Time, home int) {
	if t := &c.homes[home]; !t.Known() {
		t.Observe(now, Owner{}, 0, 0)
	}
}

// UnreadHomes returns the homes that must be known and were not read.
func (c *Challenger) UnreadHomes() []int {
	var list []int
	for _, h := range c.Record().Homes {
		if !c.homes[h].Known() {
			list = append(list, h)
		}
	}
	return list
}

// Record returns the newest record.
func (c *Challenger) Record() Record { return c.record.orAllHomes() }

// Home returns what is known of a home.
func (c *Challenger) Home(home int) *HomeView { return &c.homes[home] }

// Owner returns who owns the cell as far as is known: the owner of its main home.
func (c *Challenger) Owner() Owner { return c.homes[c.Record().Main].Owner() }

// NextAction returns what the entry that is me should do; see [Tenure.Next]. The cell is
// taken only if each of the homes that count may be.
func (c *Challenger) NextAction(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) Action {
	for _, h := range c.Record().Homes {
		if c.homes[h].NextAction(now, me, answeredSince, delay) != Acquire {
			return Wait
		}
	}
	return Acquire
}
