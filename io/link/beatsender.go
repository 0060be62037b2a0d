package link

import rock "bramleyrock"

// tolerance is the part of a load by which it may differ from what the other
// end knows: one in so many.
const tolerance = 4

// beatSender encodes the heartbeats that go one way over one connection. It
// sends a pool's load only if it differs enough from what was sent before. The
// zero value is ready to use; it is not safe for concurrent use.
type beatSender struct {
	sent map[string]loadForm
}

// encode returns the form of a heartbeat. A full one carries every pool.
func (b *beatSender) encode(h rock.Heartbeat, full bool) beatForm {
	f := formOfBeat(h)
	if full || b.sent == nil {
		f.Full = true
		b.sent = map[string]loadForm{}
	}
	all := f.Pools
	f.Pools = nil
	for _, l := range all {
		if old, known := b.sent[l.Pool]; known && near(old, l) {
			continue
		}
		b.sent[l.Pool] = l
		f.Pools = append(f.Pools, l)
	}
	f.Dropped = b.dropped(all)
	return f
}

// dropped returns the pools that were sent before and have no load any more.
func (b *beatSender) dropped(all []loadForm) []string {
	if len(b.sent) <= len(all) {
		return nil
	}
	present := map[string]bool{}
	for _, l := range all {
		present[l.Pool] = true
	}
	var gone []string
	for pool := range b.sent {
		if !present[pool] {
			gone = append(gone, pool)
			delete(b.sent, pool)
		}
	}
	return gone
}

// near reports whether the other end may go on believing old. Other zones
// choose by slots and wait; counts may differ by a part of the slots.
func near(old, now loadForm) bool {
	slack := int64(now.Slots / tolerance)
	return old.Slots == now.Slots &&
		apart(int64(old.InFlight), int64(now.InFlight)) <= slack &&
		apart(int64(old.Queued), int64(now.Queued)) <= max(slack, int64(now.Queued)/tolerance) &&
		nearWait(old.Wait, now.Wait)
}

// nearWait reports whether waits differ by little, and not between none and
// some.
func nearWait(old, now int64) bool {
	return (old == 0) == (now == 0) && apart(old, now)*tolerance <= max(old, now)
}

func apart(a, b int64) int64 { return max(a-b, b-a) }
