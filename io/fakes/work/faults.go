package work

// Faults are the switches of a [Worker]. The zero value switches all off.
type Faults struct {
	// Down refuses connections: nothing reaches the worker.
	Down bool `json:"down,omitempty"`
	// Refuse refuses every task before its start.
	Refuse bool `json:"refuse,omitempty"`
	// FailFast makes every task fail at once.
	FailFast bool `json:"fail_fast,omitempty"`
	// Silent accepts tasks and starts them, but never answers anything.
	Silent bool `json:"silent,omitempty"`
	// LostTrack never answers the call that ran the task; other calls are
	// answered, and so the answer can be fetched by task id.
	LostTrack bool `json:"lost_track,omitempty"`
	// LateMS holds answers back, in milliseconds.
	LateMS int64 `json:"late_ms,omitempty"`
	// CutShort breaks answers off in the middle.
	CutShort bool `json:"cut_short,omitempty"`
	// Swap sends the answer of another task, if there is one.
	Swap bool `json:"swap,omitempty"`
	// Share is the share of tasks, from 0 to 1, that are hit by the switches
	// other than Down; 0 means all.
	Share float64 `json:"share,omitempty"`
}
