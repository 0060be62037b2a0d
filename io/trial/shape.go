package trial

// shape is the size of a deployment.
type shape struct {
	zones        []string
	pools        []string
	hostsPerZone int
	slots        int
}

// hosts returns the number of hosts of one pool.
func (s shape) hosts() int { return s.hostsPerZone * len(s.zones) }

// budget returns the least number of available hosts of one pool.
func (s shape) budget() int { return s.hosts() - 2 }
