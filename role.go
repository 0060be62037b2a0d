package rock

// Role determines what the holder of a token may do.
type Role string

// The roles.
const (
	// CallerRole may send requests and jobs to its organisation's pools.
	CallerRole Role = "caller"
	// OperatorRole may change records.
	OperatorRole Role = "operator"
	// ReaderRole may read records and status.
	ReaderRole Role = "read_only"
)

// Valid reports whether r is one of the defined roles.
func (r Role) Valid() bool {
	switch r {
	case CallerRole, OperatorRole, ReaderRole:
		return true
	}
	return false
}
