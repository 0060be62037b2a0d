package trial

// hostPlan is a host of the fleet.
type hostPlan struct {
	name    string
	address string
	zone    string
	rack    string
	pool    string
}
