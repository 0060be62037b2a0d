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

// maxQuote is the greatest length of a wrong value in an error, in bytes.
const maxQuote = 64

// fields reads the fields of one JSON object and collects what is wrong with
// them. Fields that nobody asked for are left over as extra ones.
type fields struct {
	prefix   string
	raw      map[string]json.RawMessage
	mistakes []string
}

// readFields splits a JSON object into its fields.
func readFields(prefix string, data json.RawMessage) (*fields, error) {
	f := &fields{prefix: prefix}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return nil, fmt.Errorf("%sgot %s: want a JSON object", where(prefix), quote(data))
	}
	if err := json.Unmarshal(data, &f.raw); err != nil {
		return nil, fmt.Errorf("%s%w", where(prefix), err)
	}
	return f, nil
}

// where returns the place of an object, as the beginning of an error.
func where(prefix string) string {
	if prefix == "" {
		return ""
	}
	return "field " + strings.TrimSuffix(prefix, ".") + ": "
}

// quote returns a wrong value as an error shows it, cut if it is long.
func quote(data []byte) string {
	if len(data) > maxQuote {
		data = append(bytes.Clone(data[:maxQuote]), "..."...)
	}
	return string(data)
}

// take removes a field and returns its value, or nil if it is missing.
func (f *fields) take(name string) json.RawMessage {
	v := f.raw[name]
	delete(f.raw, name)
	return v
}

// wrong notes a mistake.
func (f *fields) wrong(name string, got []byte, want string) {
	f.mistakes = append(f.mistakes, fmt.Sprintf("field %s%s: got %s: want %s", f.prefix, name, quote(got), want))
}

// missing notes that a required field is missing.
func (f *fields) missing(name, want string) {
	f.mistakes = append(f.mistakes, fmt.Sprintf("field %s%s: missing: want %s", f.prefix, name, want))
}

// text takes an optional string.
func (f *fields) text(name string) string {
	data := f.take(name)
	if data == nil {
		return ""
	}
	var s *string
	if err := json.Unmarshal(data, &s); err != nil || s == nil {
		f.wrong(name, data, "a string")
		return ""
	}
	return *s
}

// name takes the name of a record or of a failure domain.
func (f *fields) name(field, want string, required bool) string {
	s := f.text(field)
	if s == "" {
		if required {
			f.missing(field, want)
		}
		return ""
	}
	if rock.CheckName(s) != nil {
		f.wrong(field, []byte(strconv.Quote(s)), want+" (a-z, 0-9, '.', '_' and '-')")
	}
	return s
}

// flag takes an optional boolean.
func (f *fields) flag(name string) bool {
	data := f.take(name)
	switch string(data) {
	case "", "false":
		return false
	case "true":
		return true
	}
	f.wrong(name, data, "true or false")
	return false
}

// count takes a whole number from least to most; a missing one is zero.
func (f *fields) count(name string, least, most uint64, required bool) uint64 {
	data := f.take(name)
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	if data == nil {
		if required {
			f.missing(name, want)
		}
		return 0
	}
	n, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil || n < least || n > most {
		f.wrong(name, data, want)
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
		f.wrong(name, []byte(strconv.Quote(s)), "a time such as 2026-01-31T08:15:00Z")
	}
	return t
}

// list takes an optional array.
func (f *fields) list(name string) []json.RawMessage {
	data := f.take(name)
	if data == nil {
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil || items == nil {
		f.wrong(name, data, "an array")
	}
	return items
}

// texts takes an optional array of strings.
func (f *fields) texts(name string) []string {
	data := f.take(name)
	if data == nil {
		return nil
	}
	var all []string
	if err := json.Unmarshal(data, &all); err != nil {
		f.wrong(name, data, "an array of strings")
	}
	return all
}

// object takes an optional object of its own fields; nil if it is missing or
// wrong.
func (f *fields) object(name string) *fields {
	data := f.take(name)
	if data == nil {
		return nil
	}
	sub, err := readFields(f.prefix+name+".", data)
	if err != nil {
		f.mistakes = append(f.mistakes, err.Error())
		return nil
	}
	return sub
}

// join adds the mistakes of a part.
func (f *fields) join(part *fields) { f.mistakes = append(f.mistakes, part.mistakes...) }

// extra returns the fields that were not taken.
func (f *fields) extra() Extra {
	if len(f.raw) == 0 {
		return Extra{}
	}
	return Extra{raw: f.raw}
}

// err returns all mistakes in one error.
func (f *fields) err() error {
	if len(f.mistakes) == 0 {
		return nil
	}
	slices.Sort(f.mistakes)
	return fmt.Errorf("%s", strings.Join(f.mistakes, "; "))
}

// oneOf takes a string that must be one of the allowed ones.
func oneOf[E ~string](f *fields, name string, allowed ...E) E {
	s := E(f.text(name))
	if s == "" {
		f.missing(name, fmt.Sprintf("one of %v", allowed))
		return ""
	}
	if !slices.Contains(allowed, s) {
		f.wrong(name, []byte(strconv.Quote(string(s))), fmt.Sprintf("one of %v", allowed))
	}
	return s
}
