package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// String adds a setting that any text is allowed for which check returns nil;
// a nil check allows all. The words say what is allowed.
func (s *Set) String(name, standard, usage, words string, check func(string) error) *string {
	value := new(string)
	s.add(&Setting{name: name, usage: usage, allowed: words, defaultText: standard, parse: func(text string) error {
		*value = text
		if check == nil {
			return nil
		}
		return check(text)
	}})
	return value
}

// Secret adds a text setting of at least minimum bytes whose value is never
// printed.
func (s *Set) Secret(name, usage string, minimum int) *string {
	value := s.String(name, "", usage, fmt.Sprintf("at least %d bytes", minimum), func(text string) error {
		if len(text) < minimum {
			return errors.New("too short")
		}
		return nil
	})
	s.settings[len(s.settings)-1].secret = true
	return value
}

// OneOf adds a setting that takes one of some words; the first is the default.
func (s *Set) OneOf(name, usage string, words ...string) *string {
	return s.String(name, words[0], usage, "one of "+strings.Join(words, ", "), func(text string) error {
		if !slices.Contains(words, text) {
			return errors.New("unknown word")
		}
		return nil
	})
}

// Bool adds a setting that is true or false. As a flag it may stand alone.
func (s *Set) Bool(name, usage string) *bool {
	value := new(bool)
	s.add(&Setting{name: name, usage: usage, allowed: "true or false", defaultText: "false", parse: func(text string) error {
		b, err := strconv.ParseBool(text)
		*value = b
		return strconvCause(err)
	}})
	s.flags.Lookup(name).NoOptDefVal = "true"
	return value
}

// Int adds a whole number from least to most.
func (s *Set) Int(name string, standard, least, most int, usage string) *int {
	value := new(int)
	words := fmt.Sprintf("a whole number from %d to %d", least, most)
	s.add(&Setting{name: name, usage: usage, allowed: words, defaultText: strconv.Itoa(standard), parse: func(text string) error {
		n, err := strconv.Atoi(text)
		*value = n
		if err != nil {
			return strconvCause(err)
		}
		return checkRange(n >= least && n <= most)
	}})
	return value
}

// Duration adds a duration from least to most.
func (s *Set) Duration(name string, standard, least, most time.Duration, usage string) *time.Duration {
	value := new(time.Duration)
	words := fmt.Sprintf("a duration from %v to %v", least, most)
	s.add(&Setting{name: name, usage: usage, allowed: words, defaultText: standard.String(), parse: func(text string) error {
		d, err := time.ParseDuration(text)
		*value = d
		if err != nil {
			return errors.New("not a duration")
		}
		return checkRange(d >= least && d <= most)
	}})
	return value
}

// Address adds an IP address with port, such as 127.0.0.1:7010.
func (s *Set) Address(name, standard, usage string) *string {
	return s.String(name, standard, usage, "an IP address with port", checkAddress)
}

// Addresses adds a list of IP addresses with ports, separated by commas.
func (s *Set) Addresses(name, usage string) *[]string {
	value := new([]string)
	s.add(&Setting{name: name, usage: usage, allowed: "IP addresses with ports, separated by commas", parse: func(text string) error {
		*value = nil
		for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return fmt.Errorf("%q: %w", part, err)
			}
			*value = append(*value, part)
		}
		return nil
	}})
	return value
}

// URL adds an http URL whose host is an IP address with port.
func (s *Set) URL(name, standard, usage string) *string {
	return s.String(name, standard, usage, "http://IP:PORT", func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" {
			return errors.New("not an http URL")
		}
		return checkAddress(u.Host)
	})
}

func checkAddress(text string) error {
	if text == "" {
		return errors.New("missing")
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("not an IP address with port")
	}
	return nil
}

func checkRange(ok bool) error {
	if !ok {
		return errors.New("out of range")
	}
	return nil
}

// strconvCause returns the bare cause of an error of package strconv.
func strconvCause(err error) error {
	var n *strconv.NumError
	if errors.As(err, &n) {
		return n.Err
	}
	return err
}

// Token adds a text setting that may be empty and whose value is never
// printed.
func (s *Set) Token(name, usage string) *string {
	value := s.String(name, "", usage, "", nil)
	s.settings[len(s.settings)-1].secret = true
	return value
}
