package rock

// HostCursor is a place in the changes of the platform's host list. Its text
// means something only to the platform that gave it. The empty cursor is the
// place before all changes.
type HostCursor string
