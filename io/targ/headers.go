package targ

const (
	// TaskHeader is the HTTP header that carries the task id of an answer.
	TaskHeader = "Bramleyrock-Task"
	// CallHeader is the HTTP header that carries the id of a call, and that of
	// the call that is answered.
	CallHeader = "Bramleyrock-Call"
)
