package tenure

import "time"

// Challenger decides when an entry that does not own a cell may take it over. The zero
// value has read none of the cell's homes.
type Challenger struct {
	homes  [HomeCount]HomeView
	record Record
}

// ObserveOwner records the content and version of a home's owner row.
func (c *Challenger) ObserveOwner(now time.Time, home int, owner Owner, version uint64) {
	_, renewal := c.homes[home].Versions()
	c.homes[home].Observe(now, owner, version, renewal)
}

// ObserveRenewal records the record and version in a home's renewal row.
func (c *Challenger) ObserveRenewal(now time.Time, home int, r Record, version uint64) {
	v := &c.homes[home]
	owner, _ := v.Versions()
	v.Observe(now, v.Owner(), owner, version)
	if r.NewerThan(c.record) {
		c.record = r
	}
}

// ObserveRead records that a home was read, after its rows were observed. A home without
// rows is known from then on.
func (c *Challenger) ObserveRead(now time.Time, home int) {
	v := &c.homes[home]
	if !v.Known() {
		v.Observe(now, Owner{}, 0, 0)
	}
	v.ObserveAnswer(now)
}

// ObserveFailure records that the part of the table with a home did not carry out a
// takeover.
func (c *Challenger) ObserveFailure(home int) { c.homes[home].ObserveFailure() }

// HomesToRead returns the active homes that the challenger me must read before it may take
// over the cell: those that were not read yet, or not since a takeover of them failed or
// their owner's lease expired.
func (c *Challenger) HomesToRead(now time.Time, me Owner) []int {
	var list []int
	for _, h := range c.Record().Homes {
		if c.homes[h].mustBeRead(now, me) {
			list = append(list, h)
		}
	}
	return list
}

// Record returns the newest record that was observed. Without any, it returns a record
// in which all homes are active.
func (c *Challenger) Record() Record { return c.record.orAllHomes() }

// Home returns the view of a home.
func (c *Challenger) Home(home int) *HomeView { return &c.homes[home] }

// Owner returns the owner of the main home, which is the last known owner of the cell.
func (c *Challenger) Owner() Owner { return c.homes[c.Record().Main].Owner() }

// NextAction returns what the challenger me should do about the cell. It returns
// [Acquire] only if each of the active homes may be taken over; see
// [HomeView.NextAction] for the parameters.
func (c *Challenger) NextAction(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) Action {
	if _, o := c.Obstacle(now, me, answeredSince, delay); o != "" {
		return Wait
	}
	return Acquire
}

// Obstacle returns the first home that the challenger does not take over, and why, or ""
// if it should take over the cell; see [Challenger.NextAction].
func (c *Challenger) Obstacle(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) (int, Obstacle) {
	for _, h := range c.Record().Homes {
		if o := c.homes[h].obstacle(now, me, answeredSince, delay); o != "" {
			return h, o
		}
	}
	return 0, ""
}

// ChangedAt returns when a row of any home was last observed to change, or the zero time.
func (c *Challenger) ChangedAt() time.Time {
	var latest time.Time
	for i := range c.homes {
		if at := c.homes[i].changedAt; at.After(latest) {
			latest = at
		}
	}
	return latest
}
