package trace

// leaseOneHolder checks that each epoch of a duty's lease has one holder, that
// epochs never decrease, and that writes take effect only under the newest epoch.
func leaseOneHolder(h *history, r *report) {
	newest := map[string]Event{}
	for _, e := range h.events {
		last, known := newest[e.Duty]
		switch {
		case e.Kind == LeaseTaken && known && e.Epoch < last.Epoch:
			r.add(e, "%s took duty %s at epoch %d after epoch %d", e.Holder, e.Duty, e.Epoch, last.Epoch)
		case e.Kind == LeaseTaken && known && e.Epoch == last.Epoch && e.Holder != last.Holder:
			r.add(e, "%s took duty %s at epoch %d, which %s holds", e.Holder, e.Duty, e.Epoch, last.Holder)
		case e.Kind == LeaseTaken:
			newest[e.Duty] = e
		case e.Kind == DutyActed && (!known || e.Epoch != last.Epoch):
			r.add(e, "%s acted for duty %s at epoch %d, but the newest epoch is %d", e.Holder, e.Duty, e.Epoch, last.Epoch)
		case e.Kind == DutyActed && e.Holder != last.Holder:
			r.add(e, "%s acted for duty %s at epoch %d, which %s holds", e.Holder, e.Duty, e.Epoch, last.Holder)
		}
	}
}
