// Package wave computes the next steps of a maintenance wave in one availability
// zone. A wave drains or reboots every host of its pools, a few hosts at a time.
//
// The progress of each host is stored in the host's own record. A step therefore
// costs the same in a small and in a large wave, and if the entry that holds the
// wave's duty dies, any other entry can continue without repeating or skipping a
// host. A host goes through three steps:
//
//   - draining: the host is closed, so that it is given no new work;
//   - rebooting: package drain has proved that nothing runs on the host, and the
//     platform is asked to reboot it;
//   - done: the platform lists the host as live with a higher boot count, and
//     the host is open again.
//
// A wave that only drains its hosts skips the second step. The id of a reboot is
// made of the wave, the host and the host's boot count, so that the platform
// reboots the host once however often it is asked.
//
// A host is away while it is closed for the wave. As many hosts are away at once
// as the availability budgets and the wave's max_parallel allow. While several
// hosts of a rack or zone are unexpectedly down, no further hosts are closed of
// the pools that lost hosts there. If a pool has fewer available hosts than its
// budget needs, its hosts that are still draining are opened again.
//
// # Usage
//
//	p := wave.Plan{Now: now, Fleet: fleet, Zone: "a", View: view, Headroom: reviewer.Headroom(now, fleet)}
//	for _, s := range p.Steps(record) {
//		if s.Pending() {
//			_, err = changer.Change(ctx, now, s.Proposal(me, guard))
//		}
//		if id := s.RebootID(); err == nil && id != "" {
//			err = hosts.Reboot(ctx, s.Host(), id)
//		}
//	}
package wave
