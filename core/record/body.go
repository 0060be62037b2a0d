package record

import (
	"encoding/json"

	rock "bramleyrock"
)

// Body is the typed content of a record of one kind.
type Body interface {
	// Kind returns the kind of the records that have this content.
	Kind() rock.Kind
	// Encode returns the JSON body in that schema version. It returns an error if
	// the version cannot represent the content.
	Encode(schema int) (json.RawMessage, error)
}
