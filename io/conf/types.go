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

// String adds a text setting. A text is allowed if check returns nil; a nil check
// allows every text. Allowed describes the allowed values.
func (s *Set) String(name, defaultText, usage, allowed string, check func(string) error) *string {
	value := new(string)
	s.add(&Setting{name: name, usage: usage, allowed: allowed, defaultText: defaultText, parse: func(text string) error {
		*value = text
		if check == nil {
			return nil
		}
		return check(text)
	}})
	return value
}

// Secret adds a text setting of at least minimum bytes, without a default. Its value
// is never printed.
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

// OneOf adds a setting whose value is one of the choices, of which the first is the
// default.
func (s *Set) OneOf(name, usage string, choices ...string) *string {
	return s.String(name, choices[0], usage, "one of "+strings.Join(choices, ", "), func(text string) error {
		if !slices.Contains(choices, text) {
			return errors.New("unknown word")
		}
		return nil
	})
}

// Bool adds a setting that is true or false, false by default. The flag without a
// value means true.
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

// Int adds a setting that is a whole number from least to most.
func (s *Set) Int(name string, defaultValue, least, most int, usage string) *int {
	value := new(int)
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	s.add(&Setting{name: name, usage: usage, allowed: allowed, defaultText: strconv.Itoa(defaultValue), parse: func(text string) error {
		n, err := strconv.Atoi(text)
		*value = n
		if err != nil {
			return strconvCause(err)
		}
		return checkRange(n >= least && n <= most)
	}})
	return value
}

// Duration adds a setting that is a duration from least to most, written as for
// [time.ParseDuration].
func (s *Set) Duration(name string, defaultValue, least, most time.Duration, usage string) *time.Duration {
	value := new(time.Duration)
	allowed := fmt.Sprintf("a duration from %v to %v", least, most)
	s.add(&Setting{name: name, usage: usage, allowed: allowed, defaultText: defaultValue.String(), parse: func(text string) error {
		d, err := time.ParseDuration(text)
		*value = d
		if err != nil {
			return errors.New("not a duration")
		}
		return checkRange(d >= least && d <= most)
	}})
	return value
}

// Address adds a setting that is an IP address with port, such as 127.0.0.1:7010.
func (s *Set) Address(name, defaultText, usage string) *string {
	return s.String(name, defaultText, usage, "an IP address with port", checkAddress)
}

// Addresses adds a setting that is a list of IP addresses with ports, separated by
// commas. It is empty by default.
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

// URL adds a setting that is an http or https URL whose host is an IP address with
// port.
func (s *Set) URL(name, defaultText, usage string) *string {
	return s.String(name, defaultText, usage, "http://IP:PORT", func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" {
			return errors.New("not an http URL")
		}
		return checkAddress(u.Host)
	})
}

// checkAddress returns an error unless text is an IP address with port.
func checkAddress(text string) error {
	if text == "" {
		return errors.New("missing")
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("not an IP address with port")
	}
	return nil
}

// checkRange returns an error unless ok is true.
func checkRange(ok bool) error {
	if !ok {
		return errors.New("out of range")
	}
	return nil
}

// strconvCause returns the cause of an error of package strconv without the function
// and the text that it names, since [Mistakes] names the text already.
func strconvCause(err error) error {
	var n *strconv.NumError
	if errors.As(err, &n) {
		return n.Err
	}
	return err
}

// Token adds a text setting without a default, for which every text is allowed. Its
// value is never printed.
func (s *Set) Token(name, usage string) *string {
	value := s.String(name, "", usage, "", nil)
	s.settings[len(s.settings)-1].secret = true
	return value
}
