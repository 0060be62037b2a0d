package route

import (
	"context"
	"time"

	rock "bramleyrock"
)

// SweepPage deletes the expired claim rows of one page.
func SweepPage(ctx context.Context, table rock.Table, now time.Time, after string) (string, error) {
	return newClaimRows(table, 1).sweepPage(ctx, now, after)
}
