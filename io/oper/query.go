package oper

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/books"
)

const (
	maxLimit         = 10_000 // changes in one response
	maxSchemaVersion = 1000
)

// invalidParameter returns the error for a query parameter with a value that is
// not allowed.
func invalidParameter(name, got, want string) error {
	return rock.Fail("read", "query", rock.BadInput, rock.NotRun).Becausef("query %s: got %q: want %s", name, got, want)
}

// checkQuery returns an error if a parameter is unknown or given more than once.
func checkQuery(q url.Values, known ...string) error {
	for name, values := range q {
		if !slices.Contains(known, name) {
			return invalidParameter(name, values[0], fmt.Sprintf("one of the parameters %v", known))
		}
		if len(values) > 1 {
			return invalidParameter(name, values[1], "the parameter once")
		}
	}
	return nil
}

// parseUint returns the value of a parameter, which must be from least to most, or
// 0 if the parameter is missing.
func parseUint(q url.Values, name string, least, most uint64) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil || n < least || n > most {
		return 0, invalidParameter(name, q.Get(name), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
	return n, nil
}

// parseSchema returns the requested schema version, or 0 for the stored one.
func parseSchema(q url.Values) (int, error) {
	if err := checkQuery(q, "schema_version"); err != nil {
		return 0, err
	}
	n, err := parseUint(q, "schema_version", 1, maxSchemaVersion)
	return int(n), err
}

// parseFilter returns the filter for the changes that a query selects.
func parseFilter(q url.Values) (books.Filter, error) {
	if err := checkQuery(q, "after", "limit", "kind", "name", "who", "change", "since"); err != nil {
		return books.Filter{}, err
	}
	f := books.Filter{Kind: rock.Kind(q.Get("kind")), Name: q.Get("name"), Who: q.Get("who"), ChangeID: q.Get("change")}
	if f.Kind != "" && !f.Kind.Valid() {
		return f, invalidParameter("kind", string(f.Kind), fmt.Sprintf("one of %v", rock.Kinds()))
	}
	limit, err := parseUint(q, "limit", 1, maxLimit)
	if err != nil {
		return f, err
	}
	f.Limit = int(limit)
	after, err := parseUint(q, "after", 0, 1<<62)
	if err != nil {
		return f, err
	}
	if q.Has("after") {
		f.After = new(rock.Revision(after))
	}
	if s := q.Get("since"); s != "" {
		if f.Since, err = time.Parse(time.RFC3339, s); err != nil {
			return f, invalidParameter("since", s, "a time such as 2026-01-31T08:15:00Z")
		}
	}
	return f, nil
}
