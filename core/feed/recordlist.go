package feed

import (
	"cmp"
	"slices"
	"sync"

	rock "bramleyrock"
)

// recordList holds the records of one kind. They are sorted at the first call of
// byName.
type recordList struct {
	records shards[rock.Record]
	once    sync.Once
	sorted  []rock.Record
}

// byName returns the records sorted by name.
func (l *recordList) byName() []rock.Record {
	l.once.Do(func() {
		l.sorted = make([]rock.Record, 0, l.records.size)
		l.records.each(func(_ string, r rock.Record) { l.sorted = append(l.sorted, r) })
		slices.SortFunc(l.sorted, func(a, b rock.Record) int {
			return cmp.Compare(a.Key().Name(), b.Key().Name())
		})
	})
	return l.sorted
}
