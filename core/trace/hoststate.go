package trace

// hostState is the state of a host that decides whether it is available for its
// pool's budget.
type hostState struct {
	pool string
	open bool
	lost bool // failed and not yet back
}

// available reports whether the host is open and has not failed.
func (s *hostState) available() bool { return s.open && !s.lost }
