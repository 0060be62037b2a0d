package trace

import rock "bramleyrock"

// neverOlder checks that no entry puts an older configuration in force after a
// newer one, even if it is restarted under the same name.
func neverOlder(h *history, r *report) {
	newest := map[string]rock.Revision{}
	for _, e := range h.events {
		if e.Kind != ChangeInForce {
			continue
		}
		if n := newest[e.Entry]; e.Revision < n {
			r.add(e, "%s put revision %d in force after revision %d", e.Entry, e.Revision, n)
			continue
		}
		newest[e.Entry] = e.Revision
	}
}
