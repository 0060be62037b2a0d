package trial

import "fmt"

// Deployment names a shape of fleet.
type Deployment string

// The deployments, at a fraction of their size.
const (
	// Zarqa has three availability zones and weighs moves most.
	Zarqa Deployment = "zarqa"
	// Blespind has four availability zones and weighs roll-out time most.
	Blespind Deployment = "blespind"
)

// Deployments returns the names of all deployments.
func Deployments() []string { return []string{string(Zarqa), string(Blespind)} }

// operatorPool is the shared spare pool.
const operatorPool = "spare"

// shape returns the size of the deployment. The last pool is the spare one.
func (d Deployment) shape() (shape, error) {
	switch d {
	case Zarqa:
		return shape{
			zones:        []string{"a", "b", "c"},
			pools:        []string{"member-1", "member-2", "member-3", "member-4", operatorPool},
			hostsPerZone: 2,
			slots:        4,
		}, nil
	case Blespind:
		return shape{
			zones:        []string{"a", "b", "c", "d"},
			pools:        []string{"routes", "bookings", "bundles", "billing", operatorPool},
			hostsPerZone: 2,
			slots:        3,
		}, nil
	}
	return shape{}, fmt.Errorf("deployment %q is not known: want one of %v", d, Deployments())
}
