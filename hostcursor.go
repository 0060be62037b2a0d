package rock

// HostCursor is a position in the changes of the platform's host list. Its text
// is opaque to all but the platform that issued it. The empty cursor is the
// position before all changes.
type HostCursor string
