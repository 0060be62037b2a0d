package record

import (
	"encoding/json"
	"errors"

	rock "bramleyrock"
)

// maxHostCount is the maximum number of hosts that a budget or wave may specify.
const maxHostCount = 100_000

// Budget is the content of the record of an availability budget, which limits how
// many hosts of a pool may be unavailable at the same time.
//
// Schema version 1 is {"pool": "tins", "min_available": 8}. In version 2,
// "min_available" is {"count": 8} or {"share": 0.8}, and the optional fields
// "max_away_per_rack" and "max_away_per_zone" limit the number of unavailable
// hosts in one rack and in one availability zone.
type Budget struct {
	pool           string
	minAvailable   Limit
	maxAwayPerRack int
	maxAwayPerZone int
	extra          Extra
}

// BudgetSpec holds the fields of a [Budget].
type BudgetSpec struct {
	// Pool is the pool that the budget protects.
	Pool string
	// MinAvailable is the minimum number of available hosts: hosts that are up
	// and not leaving.
	MinAvailable Limit
	// MaxAwayPerRack is the maximum number of unavailable hosts in one rack; 0
	// means no limit.
	MaxAwayPerRack int
	// MaxAwayPerZone is the maximum number of unavailable hosts in one
	// availability zone; 0 means no limit.
	MaxAwayPerZone int
}

// NewBudget returns the budget described by s.
func NewBudget(s BudgetSpec) Budget {
	return Budget{
		pool:           s.Pool,
		minAvailable:   s.MinAvailable,
		maxAwayPerRack: s.MaxAwayPerRack,
		maxAwayPerZone: s.MaxAwayPerZone,
	}
}

// Pool returns the pool that the budget protects.
func (b Budget) Pool() string { return b.pool }

// MinAvailable returns the minimum number of hosts that are up and not leaving.
func (b Budget) MinAvailable() Limit { return b.minAvailable }

// MaxAwayPerRack returns the maximum number of unavailable hosts in one rack; 0
// means no limit.
func (b Budget) MaxAwayPerRack() int { return b.maxAwayPerRack }

// MaxAwayPerZone returns the maximum number of unavailable hosts in one
// availability zone; 0 means no limit.
func (b Budget) MaxAwayPerZone() int { return b.maxAwayPerZone }

// Extra returns the unknown fields.
func (b Budget) Extra() Extra { return b.extra }

// Kind implements [Body].
func (b Budget) Kind() rock.Kind { return rock.KindBudget }

// Encode implements [Body].
func (b Budget) Encode(schema int) (json.RawMessage, error) {
	if schema == 1 {
		return b.encodeV1()
	}
	limit := object{"count": b.minAvailable.count}
	if b.minAvailable.share != "" {
		limit = object{"share": b.minAvailable.share}
	}
	data, err := limit.encode(b.minAvailable.extra, []string{"count", "share"})
	if err != nil {
		return nil, err
	}
	o := object{"pool": b.pool, "min_available": data}
	if b.maxAwayPerRack > 0 {
		o["max_away_per_rack"] = b.maxAwayPerRack
	}
	if b.maxAwayPerZone > 0 {
		o["max_away_per_zone"] = b.maxAwayPerZone
	}
	return o.encode(b.extra, []string{"pool", "min_available", "max_away_per_rack", "max_away_per_zone"})
}

// encodeV1 encodes b in schema version 1.
func (b Budget) encodeV1() (json.RawMessage, error) {
	switch {
	case b.minAvailable.share != "":
		return nil, errors.New("field min_available.share cannot be expressed")
	case b.maxAwayPerRack > 0:
		return nil, errors.New("field max_away_per_rack cannot be expressed")
	case b.maxAwayPerZone > 0:
		return nil, errors.New("field max_away_per_zone cannot be expressed")
	case !b.minAvailable.extra.empty():
		return nil, errors.New("field min_available." + b.minAvailable.extra.Names()[0] + " cannot be expressed")
	}
	o := object{"pool": b.pool, "min_available": b.minAvailable.count}
	return o.encode(b.extra, []string{"pool", "min_available"})
}

// decodeBudget decodes a budget; f collects the invalid fields.
func decodeBudget(schema int, f *fields) Budget {
	b := Budget{pool: f.name("pool", "the name of a pool", true)}
	if schema == 1 {
		b.minAvailable.count = int(f.count("min_available", 0, maxHostCount, true))
	} else {
		b.minAvailable = decodeLimit(f)
		b.maxAwayPerRack = int(f.count("max_away_per_rack", 0, maxHostCount, false))
		b.maxAwayPerZone = int(f.count("max_away_per_zone", 0, maxHostCount, false))
	}
	b.extra = f.extra()
	return b
}
