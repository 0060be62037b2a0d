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

// maxQuotedBytes is the maximum length of an invalid value in an error text.
const maxQuotedBytes = 64

// fields decodes the fields of one JSON object and collects an error text for each
// invalid one. Its methods for the types of fields remove a field from raw and
// decode it, so the fields that remain in the end are the unknown ones.
type fields struct {
	// prefix is the path of the object, ending in ".", or "" for a whole body.
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

// location returns the beginning of an error text about the object with that
// prefix.
func location(prefix string) string {
	if prefix == "" {
		return ""
	}
	return "field " + strings.TrimSuffix(prefix, ".") + ": "
}

// truncate returns an invalid value for an error text, cut to maxQuotedBytes.
func truncate(data []byte) string {
	if len(data) > maxQuotedBytes {
		data = append(bytes.Clone(data[:maxQuotedBytes]), "..."...)
	}
	return string(data)
}

// remove removes the field from raw and returns its value, or nil if it is missing.
func (f *fields) remove(name string) json.RawMessage {
	v := f.raw[name]
	delete(f.raw, name)
	return v
}

// addInvalid adds the error that the field has the value got; want describes the
// allowed values.
func (f *fields) addInvalid(name string, got []byte, want string) {
	f.errors = append(f.errors, fmt.Sprintf("field %s%s: got %s: want %s", f.prefix, name, truncate(got), want))
}

// addMissing adds the error that a required field is missing.
func (f *fields) addMissing(name, want string) {
	f.errors = append(f.errors, fmt.Sprintf("field %s%s: missing: want %s", f.prefix, name, want))
}

// text decodes an optional string.
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

// name decodes the name of a record, rack or availability zone.
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

// boolean decodes an optional boolean; a missing one is false.
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

// count decodes a whole number from minimum to maximum; a missing one is 0.
func (f *fields) count(name string, minimum, maximum uint64, required bool) uint64 {
	data := f.remove(name)
	want := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	if data == nil {
		if required {
			f.addMissing(name, want)
		}
		return 0
	}
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil || n < minimum || n > maximum {
		f.addInvalid(name, data, want)
		return 0
	}
	return n
}

// time decodes an optional time in RFC 3339 format; a missing one is zero.
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

// list decodes an optional array of any values.
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

// textList decodes an optional array of strings.
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

// object decodes an optional object. It returns nil if the object is missing or
// invalid.
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

// addErrors adds the errors of an object that is part of f's object.
func (f *fields) addErrors(part *fields) { f.errors = append(f.errors, part.errors...) }

// extra returns the fields that were not decoded.
func (f *fields) extra() Extra {
	if len(f.raw) == 0 {
		return Extra{}
	}
	return Extra{raw: f.raw}
}

// err returns one error with all error texts, sorted, or nil if there are none.
func (f *fields) err() error {
	if len(f.errors) == 0 {
		return nil
	}
	slices.Sort(f.errors)
	return fmt.Errorf("%s", strings.Join(f.errors, "; "))
}

// oneOf decodes a required string that must be one of the allowed values.
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
