package trace

// hostState is what counts of a host for a budget.
type hostState struct {
	pool string
	open bool
	lost bool
}

func (s *hostState) available() bool { return s.open && !s.lost }
