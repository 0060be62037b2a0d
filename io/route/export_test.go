package route

import (
	"context"
	"time"

	rock "bramleyrock"
)

// SweepPage sweeps one page of claim rows.
func SweepPage(ctx context.Context, table rock.Table, now time.Time, after string) (string, error) {
	return newClaimRows(table, 1).sweepPage(ctx, now, after)
}
