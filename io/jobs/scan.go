package jobs

import (
	"context"
	"fmt"
	"strings"

	rock "bramleyrock"
)

// The bounds of reading marks in one round.
const (
	scanPageRows = 100 // rows
	maxScanPages = 5
)

// readWaitingAndCancels reads which jobs wait and which are to be cancelled.
func (s *Jobs) readWaitingAndCancels(ctx context.Context) (map[string]bool, error) {
	rows, err := s.scan(ctx, waitingPrefix)
	if err != nil {
		return nil, err
	}
	var all []waitingRow
	for _, row := range rows {
		w, err := parseWaiting(row)
		if err != nil {
			s.settings.Log.WithError(err).Warn("row not readable")
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

// scan returns the first rows with the prefix.
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
