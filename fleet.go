package rock

// Fleet is a configuration in force: all records at one revision. It is
// immutable; a newer configuration is another Fleet.
type Fleet interface {
	// Revision returns the revision of the configuration.
	Revision() Revision
	// Pool returns the named pool.
	Pool(name string) (Pool, bool)
	// PoolHosts returns the pool's hosts in the zone, or in all zones if zone
	// is "". The caller must not change the slice.
	PoolHosts(pool, zone string) []Host
	// Host returns the named host.
	Host(name string) (Host, bool)
	// Quota returns how many requests and jobs of the organisation may be in
	// flight at one entry, or 0 for no limit.
	Quota(organisation string) int
	// Authenticate returns the identity of the holder of the bearer token, or
	// an [Unauthenticated] failure if the token is unknown.
	Authenticate(token string) (Identity, error)
	// Record returns the record in force with that key.
	Record(key Key) (Record, bool)
	// Records returns all records of the kind, in order of name.
	Records(kind Kind) []Record
}
