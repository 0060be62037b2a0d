package forms

import (
	"encoding/json"
	"fmt"

	rock "bramleyrock"
)

// Encode returns the record with the fields of body written over its body. A
// field that the body no longer has is kept only if body does not know it.
func Encode(r rock.Record, body any) (rock.Record, error) {
	fields := map[string]json.RawMessage{}
	if len(r.Body()) > 0 {
		if err := json.Unmarshal(r.Body(), &fields); err != nil {
			return rock.Record{}, fmt.Errorf("decode body of %s: %w", r.Key(), err)
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return rock.Record{}, fmt.Errorf("encode body of %s: %w", r.Key(), err)
	}
	written := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &written); err != nil {
		return rock.Record{}, fmt.Errorf("encode body of %s: %w", r.Key(), err)
	}
	for _, name := range optionalFields {
		if _, ok := written[name]; !ok {
			delete(fields, name)
		}
	}
	for name, value := range written {
		fields[name] = value
	}
	merged, err := json.Marshal(fields)
	if err != nil {
		return rock.Record{}, fmt.Errorf("encode body of %s: %w", r.Key(), err)
	}
	return rock.NewRecord(r.Key(), r.Schema(), r.Version(), merged), nil
}

// optionalFields are the fields that a body leaves out when they are empty.
var optionalFields = []string{"closed_by", "maintenance", "waits_for", "since", "after"}

// decode reads the record's body into body.
func decode(r rock.Record, body any) error {
	if err := json.Unmarshal(r.Body(), body); err != nil {
		return fmt.Errorf("decode body of %s: %w", r.Key(), err)
	}
	return nil
}
