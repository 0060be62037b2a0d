package site

import (
	"context"
	"time"

	rock "bramleyrock"
)

// orderDuration is the longest time from the sending of an order for a host until it is
// carried out or certainly refused.
const orderDuration = 1500 * time.Millisecond

// beginTakeDowns tells the cell that the hosts are about to be ordered, so that their
// workers get no tasks until all orders have been carried out or refused. It returns the
// hosts that may be ordered, as BeginTakeDown of the cell tells.
func (m *hostManager) beginTakeDowns(ctx context.Context, hosts []rock.PlatformHost, s cellSnapshot) ([]rock.PlatformHost, error) {
	if len(hosts) == 0 {
		return nil, nil
	}
	answers := make(chan []rock.PlatformHost, 1)
	m.owner.enqueue(ctx, func(now time.Time) {
		var begun []rock.PlatformHost
		for _, h := range hosts {
			if m.owner.state.BeginTakeDown(now, s.validUntil.Add(orderDuration), h.Worker, s.occupancy[h.Worker]) {
				begun = append(begun, h)
			}
		}
		answers <- begun
	})
	select {
	case begun := <-answers:
		return begun, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// endTakeDowns tells the cell that the hosts were certainly not ordered.
func (m *hostManager) endTakeDowns(ctx context.Context, hosts []rock.PlatformHost) {
	if len(hosts) == 0 {
		return
	}
	m.owner.enqueue(ctx, func(time.Time) {
		for _, h := range hosts {
			m.owner.state.EndTakeDown(h.Worker)
		}
		m.owner.changed = true
	})
}

// certainlyNotOrdered reports whether an order for a host with this result was not and
// will not be carried out.
func certainlyNotOrdered(p rock.Reply, err error) bool {
	if err != nil {
		return rock.VerdictOf(err) == rock.NotRun
	}
	return p.Refusal != rock.Accepted
}

// hostNames returns the names of the hosts.
func hostNames(hosts []rock.PlatformHost) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}
