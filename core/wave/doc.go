// Package wave decides the steps of a maintenance wave in one availability
// zone.
//
// The progress of each host is kept in the host's own record, so that a step
// costs the same in a small and in a large wave, and any entry can go on after
// the holder's death without repeating or skipping a host. A host is closed
// (draining), restarted through the platform once package drain has proved
// that nothing runs on it (rebooting), and opened when the platform lists it as
// live with one more boot (done). The restart carries an id made of the wave
// and the host, so that the platform does it once however often it is asked.
//
// As many hosts are away at once as the budgets and the wave's max_parallel
// allow. A rack or zone that loses several hosts holds the pools that have
// hosts there, until the hosts are back; a pool that falls short of its budget
// gets the hosts back that are still draining.
//
// # Usage
//
//	p := wave.Plan{Now: now, Fleet: fleet, Zone: "a", View: view, Room: reviewer.Room(now, fleet)}
//	for _, s := range p.Steps(record) {
//		if s.Pending() {
//			_, err = changer.Change(ctx, now, s.Proposal(me, guard))
//		}
//		if id := s.RebootID(); err == nil && id != "" {
//			err = hosts.Reboot(ctx, s.Host(), id)
//		}
//	}
package wave
