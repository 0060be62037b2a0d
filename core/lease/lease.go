package lease

import (
	"encoding/json"
	"fmt"
	"time"

	rock "bramleyrock"
)

// keyPrefix begins the keys of all lease rows.
const keyPrefix = "lease/"

// Lease is the state of a duty's lease row. The zero value is a lease that was
// never acquired.
type Lease struct {
	duty    string
	holder  string
	epoch   uint64
	expiry  time.Time
	version uint64
}

// Key returns the key of the duty's lease row.
func Key(duty string) string { return keyPrefix + duty }

type rowValue struct {
	Holder string    `json:"holder"`
	Epoch  uint64    `json:"epoch"`
	Expiry time.Time `json:"expiry"`
}

// Parse decodes the lease row of the duty. A row that does not exist is a lease
// that was never acquired.
func Parse(duty string, row rock.Row) (Lease, error) {
	l := Lease{duty: duty, version: row.Version()}
	if !row.Exists() {
		return l, nil
	}
	var value rowValue
	if err := json.Unmarshal(row.Value(), &value); err != nil {
		return Lease{}, fmt.Errorf("parse lease row %q: %w", row.Key(), err)
	}
	l.holder, l.epoch, l.expiry = value.Holder, value.Epoch, value.Expiry
	return l, nil
}

// Duty returns the name of the duty.
func (l Lease) Duty() string { return l.duty }

// Holder returns the name of the entry that last acquired the lease, or "" if the
// lease was released or never acquired.
func (l Lease) Holder() string { return l.holder }

// Epoch returns how often the lease was acquired.
func (l Lease) Epoch() uint64 { return l.epoch }

// Expiry returns the time at which the lease expires unless it is renewed.
func (l Lease) Expiry() time.Time { return l.expiry }

// Version returns the version of the lease row.
func (l Lease) Version() uint64 { return l.version }

// AddTo adds to t a write that stores l in the lease row, on condition that the
// row still has the version of before. L is a lease as returned by [Terms.Next]
// or [Terms.Release].
func (l Lease) AddTo(t *rock.Transaction, before Lease) error {
	value, err := json.Marshal(rowValue{l.holder, l.epoch, l.expiry})
	if err != nil {
		return fmt.Errorf("encode lease of %q: %w", l.duty, err)
	}
	t.Require(Key(l.duty), before.version)
	t.Put(Key(l.duty), value)
	return nil
}

// Guard returns a transaction with a condition only: that the lease row has not
// changed since l was read. Added to the holder's writes, it fences off a
// holder that was paused until after its lease had expired.
func (l Lease) Guard() rock.Transaction {
	var t rock.Transaction
	t.Require(Key(l.duty), l.version)
	return t
}
