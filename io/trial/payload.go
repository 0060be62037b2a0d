package trial

// payload is what a target is asked to do.
type payload struct {
	WorkMS int64  `json:"work_ms"`
	Echo   string `json:"echo"`
	Key    string `json:"key"`
}
