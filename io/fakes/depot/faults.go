package depot

// Faults are the switches of a [Depot]. The zero value switches all off.
type Faults struct {
	// Down refuses every call, with verdict not_run.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswers is the number of coming commits that take effect but whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseShare is the share of commits, from 0 to 1, that take effect but
	// whose answer is lost.
	LoseShare float64 `json:"lose_share,omitempty"`
	// LoseCalls is the number of coming commits that are lost before they
	// take effect; the caller cannot tell them from lost answers.
	LoseCalls int `json:"lose_calls,omitempty"`
	// HostListDown refuses the calls on the host list only.
	HostListDown bool `json:"host_list_down,omitempty"`
	// WritesPerSecond replaces the cap on writes, unless it is 0.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	// ReadsPerSecond replaces the cap on reads, unless it is 0.
	ReadsPerSecond float64 `json:"reads_per_second,omitempty"`
}
