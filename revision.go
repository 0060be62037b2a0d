package rock

// Revision counts accepted changes. Every accepted change has a revision one
// greater than the change before it, so a configuration is older than another
// if its revision is smaller. Zero means that no configuration is known.
type Revision uint64
