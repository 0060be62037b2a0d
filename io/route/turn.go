package route

import "bramleyrock/core/sched"

// turn ends the wait of a request: it is granted a host, or refused.
type turn struct {
	grant sched.Grant
	err   error
}
