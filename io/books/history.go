package books

import (
	"context"
	"slices"

	rock "bramleyrock"
)

const (
	defaultHistoryLimit = 100
	// maxHistoryPages bounds the pages of the feed that one call of
	// [Books.History] reads.
	maxHistoryPages = 40
)

// History returns the changes that the filter selects, oldest first, from the
// platform's table. It reads at most 20,000 changes, so it may return fewer
// changes than exist. With [Filter.After] it reads forwards, and the second result
// is the last revision read. Otherwise it reads backwards from the newest change,
// and the second result is the revision before the oldest change read.
func (b *Books) History(ctx context.Context, f Filter) ([]rock.Change, rock.Revision, error) {
	f.Limit = orDefault(f.Limit, defaultHistoryLimit)
	if f.After != nil {
		return b.historyAfter(ctx, f)
	}
	return b.historyNewest(ctx, f)
}

// historyAfter reads forwards from the revision f.After.
func (b *Books) historyAfter(ctx context.Context, f Filter) ([]rock.Change, rock.Revision, error) {
	var found []rock.Change
	at := *f.After
	for range maxHistoryPages {
		page, err := b.readChanges(ctx, at, pageSize)
		if err != nil {
			return nil, 0, err
		}
		for _, c := range page {
			at = c.Revision()
			if visible, ok := f.match(c); ok {
				found = append(found, visible)
			}
			if len(found) == f.Limit {
				return found, at, nil
			}
		}
		if len(page) < pageSize {
			break
		}
	}
	return found, at, nil
}

// historyNewest reads backwards from head.
func (b *Books) historyNewest(ctx context.Context, f Filter) ([]rock.Change, rock.Revision, error) {
	_, end, err := b.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	var found []rock.Change
	for range maxHistoryPages {
		size := min(end, pageSize)
		page, err := b.readChanges(ctx, end-size, int(max(size, 1)))
		if err != nil {
			return nil, 0, err
		}
		for _, c := range slices.Backward(page) {
			if visible, ok := f.match(c); ok && len(found) < f.Limit {
				found = append(found, visible)
			}
		}
		end -= size
		if end == 0 || len(found) == f.Limit || len(page) > 0 && page[0].At().Before(f.Since) {
			break
		}
	}
	slices.Reverse(found)
	return found, end, nil
}
