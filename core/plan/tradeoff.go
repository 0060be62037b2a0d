package plan

// Tradeoff is one measured run: what a way to size pools held back and what it
// cost. Runs are kept as JSON and drawn by package chart.
type Tradeoff struct {
	// Deployment is the name of the deployment.
	Deployment string `json:"deployment"`
	// Policy is the way in which pools were sized.
	Policy string `json:"policy"`
	// Hosts is the number of hosts.
	Hosts int `json:"hosts"`
	// IdleShare is the share of the slots that was idle on average: the buffer.
	IdleShare float64 `json:"idle_share"`
	// LateShare is the share of the work that could not be served in time.
	LateShare float64 `json:"late_share"`
	// Moves is the number of hosts that changed pools.
	Moves int `json:"moves"`
	// RollOutSeconds is the shortest time of a maintenance wave, on average.
	RollOutSeconds float64 `json:"roll_out_seconds"`
	// Seed is the seed of the run.
	Seed uint64 `json:"seed"`
}
