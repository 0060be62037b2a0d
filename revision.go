package rock

// Revision is the number of a configuration. Every accepted change creates the
// revision that is one greater than that of the change before, so a smaller
// revision is an older configuration. Zero means that no configuration is known.
type Revision uint64
