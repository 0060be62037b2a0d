package oper

import (
	"net/http"
	"slices"
	"strings"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"
)

// access is what the holder of a token may see and change.
type access struct {
	identity rock.Identity
	config   *feed.Config
	codec    record.Codec
}

// bearer returns the bearer token of a request, or "".
func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// whole reports whether the holder is an operator of the whole system.
func (a access) whole() bool { return a.identity.Organisation() == "" }

// owns reports whether the pool belongs to the holder's organisation.
func (a access) owns(pool string) bool {
	p, ok := a.config.Pool(pool)
	return ok && p.Organisation() != "" && p.Organisation() == a.identity.Organisation()
}

// sees reports whether the holder may read the record.
func (a access) sees(r rock.Record) bool {
	if a.whole() {
		return true
	}
	b, err := a.codec.Decode(r)
	if err != nil {
		return false
	}
	switch b := b.(type) {
	case record.Organisation:
		return r.Key().Name() == a.identity.Organisation()
	case record.Pool:
		return b.Organisation() == a.identity.Organisation()
	case record.Host:
		return a.owns(b.Spec().Pool)
	case record.Budget:
		return a.owns(b.Pool())
	case record.Move:
		return a.owns(b.Spec().From) || a.owns(b.Spec().To)
	case record.Wave:
		return a.ownsAll(b.Spec().Pools)
	}
	return false
}

func (a access) ownsAll(pools []string) bool {
	return !slices.ContainsFunc(pools, func(p string) bool { return !a.owns(p) })
}

// visible returns the part of a change that the holder may read, and false if
// there is none.
func (a access) visible(c rock.Change) (rock.Change, bool) {
	if a.whole() {
		return c, true
	}
	var edits []rock.Edit
	for _, e := range c.Edits() {
		if a.seesEdit(e) {
			edits = append(edits, e)
		}
	}
	return rock.NewChange(c.ID(), c.Revision(), c.At(), c.Who(), c.Why(), edits), len(edits) > 0
}

// seesEdit reports whether the holder may read both sides of the edit.
func (a access) seesEdit(e rock.Edit) bool {
	return (e.From() == nil || a.sees(*e.From())) && (e.To() == nil || a.sees(*e.To()))
}

// at returns the access to another configuration.
func (a access) at(c *feed.Config) access {
	a.config = c
	return a
}

// allows refuses a change that the holder may not make.
func (a access) allows(f changeForm) error {
	for _, r := range append(f.Records[:len(f.Records):len(f.Records)], f.Deletes...) {
		if !a.whole() && !a.mayChange(r) {
			return rock.Fail("change", r.Key().String(), rock.Forbidden, rock.NotRun).
				Becausef("an operator of organisation %s changes budgets, waves and moves of its own pools only", a.identity.Organisation())
		}
	}
	return checkByHand(a.config, a.codec, f.Records)
}

// mayChange reports whether the identity may replace or delete the record that
// is in force by this one.
func (a access) mayChange(r rock.Record) bool {
	if current, ok := a.config.Record(r.Key()); ok && !a.mayWrite(current) {
		return false
	}
	return len(r.Body()) == 0 || a.mayWrite(r)
}

// mayWrite reports whether the pools of the record are of the identity's
// organisation, for the kinds that an organisation may write.
func (a access) mayWrite(r rock.Record) bool {
	b, err := a.codec.Decode(r)
	if err != nil {
		// It is refused with a better reason when the change is checked.
		return rock.ReasonOf(err) == rock.BadInput
	}
	switch b := b.(type) {
	case record.Budget:
		return a.owns(b.Pool())
	case record.Wave:
		return a.ownsAll(b.Spec().Pools)
	case record.Move:
		return a.owns(b.Spec().From) && a.owns(b.Spec().To)
	}
	return false
}
