package trial

// PoolReport is the readings of one pool.
type PoolReport struct {
	Pool string `json:"pool"`
	// Surged is true for the pool whose load surged.
	Surged bool `json:"surged"`
	// Served counts whole answers.
	Served int `json:"served"`
	// NotRun and MayHaveRun count refusals by verdict.
	NotRun     int `json:"refused_not_run"`
	MayHaveRun int `json:"refused_may_have_run"`
	// DelayP50MS and DelayP99MS are percentiles of the queueing delay of
	// served requests: the time until the answer less the work itself, in
	// milliseconds.
	DelayP50MS float64 `json:"delay_p50_ms"`
	DelayP99MS float64 `json:"delay_p99_ms"`
}
