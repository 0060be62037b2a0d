package site

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"

	"github.com/fxamacker/cbor/v2"
)

// announcedOrdersRow names the hosts for which an owner may send orders. It is stored
// before the orders are sent, so that a new owner of any cell knows for which hosts
// another holder may have sent orders recently.
type announcedOrdersRow struct {
	// UntilMS is the time until which orders for a host may be sent, in milliseconds
	// of the table's clock, by host.
	UntilMS map[string]int64 `cbor:"1,keyasint"`
}

// orderGap is how long after the last possible order of another holder a host may get
// orders.
func (m *hostManager) orderGap() time.Duration {
	return m.owner.site.settings.MinHolderGap + holderMargin
}

// announceOrders stores that orders for the hosts may be sent while the snapshot's lease
// is valid.
func (m *hostManager) announceOrders(ctx context.Context, s cellSnapshot, hosts []string) error {
	o := m.owner
	now := o.site.now()
	maps.DeleteFunc(m.announcedOrders, func(_ string, until time.Time) bool { return now.Sub(until) > m.orderGap() })
	for _, h := range hosts {
		m.announcedOrders[h] = s.validUntil
	}
	row := announcedOrdersRow{UntilMS: map[string]int64{}}
	for h, until := range m.announcedOrders {
		row.UntilMS[h] = o.tableTime(until)
	}
	value, err := encode(row)
	if err != nil {
		return err
	}
	part := homePart(o.cell, s.home)
	var t rock.Transaction
	t.Require(key(cellTable, part, ownerName), s.ownerVersion)
	t.Put(key(orderTable, part, orderName), value)
	o.enqueue(ctx, func(time.Time) { o.announcedOrders = value }) // copied if another home becomes the main home
	if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
		return fmt.Errorf("announce orders for %d hosts: %w", len(hosts), err)
	}
	if home, err := m.mainHome(ctx); err != nil || home != s.home {
		return errOwnershipUncertain // the row may be in a home that is excluded meanwhile
	}
	return nil
}

// mainHome returns the cell's main home.
func (m *hostManager) mainHome(ctx context.Context) (int, error) {
	answers := make(chan int, 1)
	m.owner.enqueue(ctx, func(time.Time) { answers <- m.owner.lease.Main() })
	select {
	case home := <-answers:
		return home, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// loadRecentOrders reads the announced orders of all owners, so that hosts for which
// there are none may get orders at once. If the orders cannot be read, all hosts wait
// for orderGap.
func (m *hostManager) loadRecentOrders(ctx context.Context, hosts []rock.PlatformHost) {
	o := m.owner
	now := o.site.now()
	if !m.gapListedAt.IsZero() {
		m.closeGap(ctx, now)
	}
	if m.recentOrdersKnown || now.Sub(m.firstListedAt) > m.orderGap() {
		return
	}
	until, err := m.readRecentOrders(ctx, o.site.view.cellNames())
	if err != nil {
		o.log.WithError(err).Info("Recent orders for hosts are not known yet.")
		return
	}
	m.recentOrdersKnown = true
	m.announcedOrders = until // the next owner must know them too
	n := 0
	for _, h := range hosts {
		if h.Pool != o.pool || !m.inPoolSince[h.Name].Equal(m.firstListedAt) {
			continue // the host has joined the pool since
		}
		n++
		m.inPoolSince[h.Name] = until[h.Name] // the zero time if no order was announced
		if until[h.Name].IsZero() {
			m.inPoolSince[h.Name] = now.Add(-2 * m.orderGap())
		}
	}
	o.log.WithField("hosts", n).WithField("ordered", len(until)).Info("Recent orders for hosts are known.")
}

// closeGap finds out which of the pool's hosts other holders may have ordered while the
// hosts were not listed. If that cannot be read, all hosts wait for orderGap.
func (m *hostManager) closeGap(ctx context.Context, now time.Time) {
	o := m.owner
	logger := o.log.WithField("since_listing_ms", now.Sub(m.gapListedAt).Milliseconds())
	if now.Sub(m.gapListedAt) > m.orderGap() {
		m.gapListedAt = time.Time{}
		logger.Info("Hosts may be ordered again, those that were ordered meanwhile have waited.")
		return
	}
	others := slices.DeleteFunc(o.site.view.cellNames(), func(name string) bool { return name == o.cell })
	until, err := m.readRecentOrders(ctx, others)
	if err != nil {
		logger.WithError(err).Info("Orders for hosts since the last listing are not known yet.")
		return
	}
	n := 0
	for host, since := range m.inPoolSince {
		if t := until[host]; t.After(since) {
			m.inPoolSince[host] = t
			n++
		}
	}
	m.gapListedAt = time.Time{}
	logger.WithField("ordered", n).Info("Orders for hosts since the last listing are known.")
}

// readRecentOrders reads until when the owners of the cells may send orders, by host. It
// omits times that are longer ago than orderGap.
func (m *hostManager) readRecentOrders(ctx context.Context, cells []string) (map[string]time.Time, error) {
	o := m.owner
	rows, err := o.site.listAnnouncedOrders(ctx, cells)
	if err != nil {
		return nil, err
	}
	now := o.site.now()
	until := map[string]time.Time{}
	for _, r := range rows {
		var row announcedOrdersRow
		if err := cbor.Unmarshal(r.Value(), &row); err != nil {
			return nil, fmt.Errorf("decode orders for hosts: %w", err)
		}
		for host, ms := range row.UntilMS {
			if t := o.entryTime(ms); t.After(until[host]) && now.Sub(t) <= m.orderGap() {
				until[host] = t
			}
		}
	}
	return until, nil
}

// listAnnouncedOrders reads the announced orders in all homes of the cells that are in
// use. It fails if one of the homes cannot be read.
func (s *Site) listAnnouncedOrders(ctx context.Context, cells []string) ([]rock.Row, error) {
	results := make(chan []rock.Row, tenure.HomeCount*len(cells))
	g := group.New(ctx)
	for _, cell := range cells {
		var homes []int
		s.view.withCell(cell, func(c *cellView) { homes = c.challenger.Record().Homes })
		for _, home := range homes {
			g.Go("read orders", func(ctx context.Context) error {
				c, err := s.settings.Store.List(ctx, orderTable, homePart(cell, home), orderName, orderName+"\x00")
				results <- c.Rows
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	close(results)
	var rows []rock.Row
	for r := range results {
		rows = append(rows, r...)
	}
	return rows, nil
}
