package route

import "bramleyrock/core/sched"

// waitResult is the result of a wait for a host: a grant or an error.
type waitResult struct {
	grant sched.Grant
	err   error
}
