package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	rock "bramleyrock"
)

// maxQuotedBytes is the greatest length of a wrong value in an error, in bytes.
const maxQuotedBytes = 64

// fields reads the fields of one JSON object and collects what is wrong with
// them. Fields that nobody asked for are left over as extra ones.
type fields struct {
	prefix string
	raw    map[string]json.RawMessage
	errors []string
}

// readFields splits a JSON object into its fields.
func readFields(prefix string, data json.RawMessage) (*fields, error) {
	f := &fields{prefix: prefix}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return nil, fmt.Errorf("%sgot %s: want a JSON object", location(prefix), truncate(data))
	}
	if err := json.Unmarshal(data, &f.raw); err != nil {
		return nil, fmt.Errorf("%s%w", location(prefix), err)
	}
	return f, nil
}

// location returns the place of an object, as the beginning of an error.
func location(prefix string) string {
	if prefix == "" {
		return ""
	}
	return "field " + strings.TrimSuffix(prefix, ".") + ": "
}

// truncate returns a wrong value as an error shows it, cut if it is long.
func truncate(data []byte) string {
	if len(data) > maxQuotedBytes {
		data = append(bytes.Clone(data[:maxQuotedBytes]), "..."...)
	}
	return string(data)
}

// remove removes a field and returns its value, or nil if it is missing.
func (f *fields) remove(name string) json.RawMessage {
	v := f.raw[name]
	delete(f.raw, name)
	return v
}

// addInvalid notes a mistake.
func (f *fields) addInvalid(name string, got []byte, want string) {
	f.errors = append(f.errors, fmt.Sprintf("field %s%s: got %s: want %s", f.prefix, name, truncate(got), want))
}

// addMissing notes that a required field is missing.
func (f *fields) addMissing(name, want string) {
	f.errors = append(f.errors, fmt.Sprintf("field %s%s: missing: want %s", f.prefix, name, want))
}

// text takes an optional string.
func (f *fields) text(name string) string {
	data := f.remove(name)
	if data == nil {
		return ""
	}
	var s *string
	if err := json.Unmarshal(data, &s); err != nil || s == nil {
		f.addInvalid(name, data, "a string")
		return ""
	}
	return *s
}

// name takes the name of a record or of a failure domain.
func (f *fields) name(field, want string, required bool) string {
	s := f.text(field)
	if s == "" {
		if required {
			f.addMissing(field, want)
		}
		return ""
	}
	if rock.CheckName(s) != nil {
		f.addInvalid(field, []byte(strconv.Quote(s)), want+" (a-z, 0-9, '.', '_' and '-')")
	}
	return s
}

// boolean takes an optional boolean.
func (f *fields) boolean(name string) bool {
	data := f.remove(name)
	switch string(data) {
	case "", "false":
		return false
	case "true":
		return true
	}
	f.addInvalid(name, data, "true or false")
	return false
}

// count takes a whole number from least to most; a missing one is zero.
func (f *fields) count(name string, least, most uint64, required bool) uint64 {
	data := f.remove(name)
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	if data == nil {
		if required {
			f.addMissing(name, want)
		}
		return 0
	}
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil || n < least || n > most {
		f.addInvalid(name, data, want)
		return 0
	}
	return n
}

// time takes an optional time.
func (f *fields) time(name string) time.Time {
	s := f.text(name)
	if s == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		f.addInvalid(name, []byte(strconv.Quote(s)), "a time such as 2026-01-31T08:15:00Z")
	}
	return t
}

// list takes an optional array.
func (f *fields) list(name string) []json.RawMessage {
	data := f.remove(name)
	if data == nil {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil || items == nil {
		f.addInvalid(name, data, "an array")
	}
	return items
}

// textList takes an optional array of strings.
func (f *fields) textList(name string) []string {
	data := f.remove(name)
	if data == nil {
		return nil
	}
	var all []string
	if err := json.Unmarshal(data, &all); err != nil {
		f.addInvalid(name, data, "an array of strings")
	}
	return all
}

// object takes an optional object of its own fields; nil if it is missing or
// wrong.
func (f *fields) object(name string) *fields {
	data := f.remove(name)
	if data == nil {
		return nil
	}
	sub, err := readFields(f.prefix+name+".", data)
	if err != nil {
		f.errors = append(f.errors, err.Error())
		return nil
	}
	return sub
}

// addErrors adds the mistakes of a part.
func (f *fields) addErrors(part *fields) { f.errors = append(f.errors, part.errors...) }

// extra returns the fields that were not taken.
func (f *fields) extra() Extra {
	if len(f.raw) == 0 {
		return Extra{}
	}
	return Extra{raw: f.raw}
}

// err returns all mistakes in one error.
func (f *fields) err() error {
	if len(f.errors) == 0 {
		return nil
	}
	slices.Sort(f.errors)
	return fmt.Errorf("%s", strings.Join(f.errors, "; "))
}

// oneOf takes a string that must be one of the allowed ones.
func oneOf[E ~string](f *fields, name string, allowed ...E) E {
	s := E(f.text(name))
	if s == "" {
		f.addMissing(name, fmt.Sprintf("one of %v", allowed))
		return ""
	}
	if !slices.Contains(allowed, s) {
		f.addInvalid(name, []byte(strconv.Quote(string(s))), fmt.Sprintf("one of %v", allowed))
	}
	return s
}
