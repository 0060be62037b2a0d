package site

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

const (
	// hostOrderTime is how long an order for a host takes.
	hostOrderTime = 14 * time.Millisecond
	// minParallelOrders and maxParallelOrders bound the orders for hosts that are sent in
	// parallel.
	minParallelOrders = 4
	maxParallelOrders = 16
	// maxOrderTime bounds the time for which one call of sendOrders sends orders. A round
	// calls it twice, and lists the hosts again within maxListGap.
	maxOrderTime = 500 * time.Millisecond
)

// parallelOrders returns how many orders for hosts are sent in parallel on a platform that
// takes that many a second. One owner may use the whole rate: usually one pool gives most
// of the hosts, and what is too much is refused and sent again.
func parallelOrders(rate float64) int {
	return max(minParallelOrders, min(maxParallelOrders, int(math.Ceil(rate*hostOrderTime.Seconds()))))
}

// sendOrders calls send for each host, a few at a time, until the ownership in the
// snapshot ends, maxOrderTime has passed, or the platform refuses an order because there
// are too many. A failed order does not end the others. It returns the hosts that were
// certainly not ordered, because of an error or because send was not called for them, and
// the first error.
func (m *hostManager) sendOrders(ctx context.Context, hosts []rock.PlatformHost, s cellSnapshot, send func(ctx context.Context, h rock.PlatformHost) error) ([]rock.PlatformHost, error) {
	var mu sync.Mutex // guards the variables up to stopped
	var failed error
	var notOrdered []rock.PlatformHost
	unsent := hosts
	stopped := false
	started := m.owner.site.now()
	next := func() (rock.PlatformHost, bool) {
		mu.Lock()
		defer mu.Unlock()
		now := m.owner.site.now()
		switch {
		case stopped || len(unsent) == 0:
			return rock.PlatformHost{}, false
		case !now.Before(s.validUntil): // the process was suspended
			failed, stopped = errors.Join(failed, errOwnershipUncertain), true
			return rock.PlatformHost{}, false
		case now.Sub(started) >= maxOrderTime:
			stopped, m.ordersLeft = true, true
			return rock.PlatformHost{}, false
		}
		h := unsent[0]
		unsent = unsent[1:]
		return h, true
	}
	g := group.New(ctx)
	for range min(parallelOrders(m.owner.site.settings.HostOrderRate), len(hosts)) {
		g.Go("order hosts", func(ctx context.Context) error {
			for h, ok := next(); ok; h, ok = next() {
				err := send(ctx, h)
				if err == nil {
					continue
				}
				mu.Lock()
				if failed == nil {
					failed = err
				}
				if rock.VerdictOf(err) == rock.NotRun {
					notOrdered = append(notOrdered, h)
				}
				stopped = stopped || rock.ReasonOf(err) == rock.Overloaded
				mu.Unlock()
			}
			return nil
		})
	}
	err := g.Wait()
	return append(notOrdered, unsent...), errors.Join(err, failed)
}
