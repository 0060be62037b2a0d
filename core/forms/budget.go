package forms

import (
	"encoding/json"
	"fmt"
	"math"

	rock "bramleyrock"
)

// Budget is the body of a budget record, of schema version 1 or 2.
type Budget struct {
	Pool string
	// Count is the least number of available hosts.
	Count int
	// Share is the least available share of the pool's hosts, from 0 to 1.
	Share float64
	// MaxAwayPerRack and MaxAwayPerZone limit how many hosts of a rack or
	// zone may be away; 0 means no limit.
	MaxAwayPerRack int
	MaxAwayPerZone int
}

type budgetV1 struct {
	Pool         string `json:"pool"`
	MinAvailable int    `json:"min_available"`
}

type budgetV2 struct {
	Pool         string `json:"pool"`
	MinAvailable struct {
		Count int     `json:"count"`
		Share float64 `json:"share"`
	} `json:"min_available"`
	MaxAwayPerRack int `json:"max_away_per_rack"`
	MaxAwayPerZone int `json:"max_away_per_zone"`
}

// DecodeBudget returns the body of a budget record.
func DecodeBudget(r rock.Record) (Budget, error) {
	switch r.Schema() {
	case 1:
		var b budgetV1
		err := json.Unmarshal(r.Body(), &b)
		return Budget{Pool: b.Pool, Count: b.MinAvailable}, err
	case 2:
		var b budgetV2
		err := json.Unmarshal(r.Body(), &b)
		return Budget{b.Pool, b.MinAvailable.Count, b.MinAvailable.Share, b.MaxAwayPerRack, b.MaxAwayPerZone}, err
	}
	return Budget{}, fmt.Errorf("budget %s has unknown schema version %d: want 1 or 2", r.Key().Name(), r.Schema())
}

// Need returns how many of the pool's hosts must be available.
func (b Budget) Need(hosts int) int {
	const rounding = 1e-9
	share := int(math.Ceil(b.Share*float64(hosts) - rounding))
	return max(b.Count, share)
}
