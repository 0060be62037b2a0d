package rock

// Kind is the kind of a record.
type Kind string

// The kinds.
const (
	KindOrganisation Kind = "organisation"
	KindPool         Kind = "pool"
	KindHost         Kind = "host"
	KindBudget       Kind = "budget"
	KindWave         Kind = "wave"
	KindMove         Kind = "move"
)

// Kinds returns all kinds, in the order in which the records of one change are
// applied. A record may refer only to records of earlier kinds.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindPool, KindHost, KindBudget, KindWave, KindMove}
}

// Valid reports whether k is one of the defined kinds.
func (k Kind) Valid() bool {
	switch k {
	case KindOrganisation, KindPool, KindHost, KindBudget, KindWave, KindMove:
		return true
	}
	return false
}
