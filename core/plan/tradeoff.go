package plan

// Tradeoff is the result of a measured run of a policy that sizes pools: the slots
// that it held idle and the work that was late. Results are stored as JSON and drawn
// by package chart.
type Tradeoff struct {
	// Deployment is the name of the deployment.
	Deployment string `json:"deployment"`
	// Policy is the name of the policy.
	Policy string `json:"policy"`
	// Hosts is the number of hosts.
	Hosts int `json:"hosts"`
	// IdleShare is the mean share of the slots that was idle: the buffer.
	IdleShare float64 `json:"idle_share"`
	// LateShare is the share of the work that could not be served on time.
	LateShare float64 `json:"late_share"`
	// Moves is the number of hosts that changed pools.
	Moves int `json:"moves"`
	// RollOutSeconds is the minimum duration of a maintenance wave, on average.
	RollOutSeconds float64 `json:"roll_out_seconds"`
	// Seed is the random seed of the run.
	Seed uint64 `json:"seed"`
}
