package jobs

import (
	"context"
	"fmt"
	"strings"

	rock "bramleyrock"
)

// A scan reads at most maxScanPages pages of scanPageRows rows.
const (
	scanPageRows = 100
	maxScanPages = 5
)

// readWaitingAndCancels reads the waiting jobs into s.waiting, and returns the
// ids of the jobs for which cancellation was requested.
func (s *Jobs) readWaitingAndCancels(ctx context.Context) (map[string]bool, error) {
	rows, err := s.scan(ctx, waitingPrefix)
	if err != nil {
		return nil, err
	}
	var all []waitingRow
	for _, row := range rows {
		w, err := parseWaiting(row)
		if err != nil {
			s.settings.Log.WithError(err).Warn("cannot parse a waiting job's row")
			continue
		}
		all = append(all, w)
	}
	s.mu.Lock()
	s.waiting = all
	s.mu.Unlock()
	s.settings.Scope.Gauge("waiting").Update(float64(len(all)))
	rows, err = s.scan(ctx, cancelPrefix)
	if err != nil {
		return nil, err
	}
	cancels := map[string]bool{}
	for _, row := range rows {
		cancels[strings.TrimPrefix(row.Key(), cancelPrefix)] = true
	}
	return cancels, nil
}

// scan returns the first rows with the prefix, in the order of their keys.
func (s *Jobs) scan(ctx context.Context, prefix string) ([]rock.Row, error) {
	ctx, cancel := s.withCallTimeout(ctx)
	defer cancel()
	var all []rock.Row
	after := ""
	for range maxScanPages {
		rows, err := s.settings.Table.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, fmt.Errorf("scan %s: %w", prefix, err)
		}
		all = append(all, rows...)
		if len(rows) < scanPageRows {
			break
		}
		after = rows[len(rows)-1].Key()
	}
	return all, nil
}
