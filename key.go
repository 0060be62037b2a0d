package rock

import (
	"fmt"
	"regexp"
	"strings"
)

// maxNameBytes is the maximum length of a record's name.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Key identifies a record by kind and name.
type Key struct {
	kind Kind
	name string
}

// NewKey returns the key of the record of that kind and name.
func NewKey(kind Kind, name string) Key { return Key{kind: kind, name: name} }

// ParseKey parses a key of the form "kind/name". It fails if the kind or the name
// is not allowed.
func ParseKey(s string) (Key, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok {
		return Key{}, fmt.Errorf("parse key %q: want kind/name", s)
	}
	k := NewKey(Kind(kind), name)
	return k, k.Check()
}

// Kind returns the record's kind.
func (k Key) Kind() Kind { return k.kind }

// Name returns the record's name.
func (k Key) Name() string { return k.name }

// String returns "kind/name".
func (k Key) String() string { return string(k.kind) + "/" + k.name }

// Check returns an error if the kind or the name is not allowed.
func (k Key) Check() error {
	if !k.kind.Valid() {
		return fmt.Errorf("unknown kind %q: want one of %v", k.kind, Kinds())
	}
	return CheckName(k.name)
}

// CheckName returns an error if name is not allowed. A name has 1 to 63
// characters from a to z, 0 to 9, '.', '_' and '-', and begins and ends with a
// letter or digit.
func CheckName(name string) error {
	if len(name) > maxNameBytes {
		return fmt.Errorf("name of %d bytes is too long: want at most %d", len(name), maxNameBytes)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q is not allowed: want a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit", name)
	}
	return nil
}
