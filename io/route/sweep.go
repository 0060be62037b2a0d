package route

import (
	"context"
	"encoding/json"
	"time"

	rock "bramleyrock"
)

const (
	// sweepInterval is the time between reads of two pages of claim rows.
	sweepInterval = 30 * time.Second
	// sweepPage is the number of rows on a page.
	sweepPage = 100
	// sweepMargin is how long an expired row is retained. It allows for
	// differences between the clocks of entries.
	sweepMargin = time.Minute
)

// sweepClaimRows deletes expired claim rows periodically, one page at a time.
func (e *Engine) sweepClaimRows(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		next, err := e.claimRows.sweepPage(ctx, e.settings.Now(), after)
		if err != nil {
			e.settings.Log.WithError(err).Debug("Deleting expired claim rows failed.")
			continue
		}
		after = next
	}
}

// sweepPage deletes the expired rows of the page that follows a key. It returns
// the last key of the page, or "" after the last page.
func (r *claimRows) sweepPage(ctx context.Context, now time.Time, after string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	page, err := r.table.Scan(ctx, claimRowPrefix, after, sweepPage)
	if err != nil {
		return after, err
	}
	var t rock.Transaction
	for _, row := range page {
		var f claimRow
		if json.Unmarshal(row.Value(), &f) == nil && now.After(f.ExpiresAt.Add(sweepMargin)) {
			t.Require(row.Key(), row.Version())
			t.Delete(row.Key())
		}
	}
	if len(t.Writes()) > 0 {
		if err := r.table.Commit(ctx, t); err != nil {
			return after, err
		}
	}
	if len(page) < sweepPage {
		return "", nil
	}
	return page[len(page)-1].Key(), nil
}
