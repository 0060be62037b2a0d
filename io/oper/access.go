package oper

import (
	"net/http"
	"slices"
	"strings"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"
)

// access decides what the holder of a token may read and change in a
// configuration.
type access struct {
	identity rock.Identity
	config   *feed.Config
	codec    record.Codec
}

// bearerToken returns the bearer token of a request, or "" if it has none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// isSystemWide reports whether the identity belongs to the whole system rather
// than to one organisation.
func (a access) isSystemWide() bool { return a.identity.Organisation() == "" }

// ownsPool reports whether the pool belongs to the identity's organisation.
func (a access) ownsPool(pool string) bool {
	p, ok := a.config.Pool(pool)
	return ok && p.Organisation() != "" && p.Organisation() == a.identity.Organisation()
}

// canRead reports whether the identity may read the record.
func (a access) canRead(r rock.Record) bool {
	if a.isSystemWide() {
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
		return a.ownsPool(b.Spec().Pool)
	case record.Budget:
		return a.ownsPool(b.Pool())
	case record.Move:
		return a.ownsPool(b.Spec().From) || a.ownsPool(b.Spec().To)
	case record.Wave:
		return a.ownsAllPools(b.Spec().Pools)
	}
	return false
}

func (a access) ownsAllPools(pools []string) bool {
	return !slices.ContainsFunc(pools, func(p string) bool { return !a.ownsPool(p) })
}

// redactChange returns the change without the edits that the identity may not
// read, and false if no edit remains.
func (a access) redactChange(c rock.Change) (rock.Change, bool) {
	if a.isSystemWide() {
		return c, true
	}
	var edits []rock.Edit
	for _, e := range c.Edits() {
		if a.canReadEdit(e) {
			edits = append(edits, e)
		}
	}
	return rock.NewChange(c.ID(), c.Revision(), c.At(), c.Who(), c.Why(), edits), len(edits) > 0
}

// canReadEdit reports whether the identity may read the record as it was before
// the edit and as it is after it.
func (a access) canReadEdit(e rock.Edit) bool {
	return (e.From() == nil || a.canRead(*e.From())) && (e.To() == nil || a.canRead(*e.To()))
}

// withConfig returns the access of the same identity to another configuration.
func (a access) withConfig(c *feed.Config) access {
	a.config = c
	return a
}

// checkChange returns an error if the identity may not make the change.
func (a access) checkChange(req changeRequest) error {
	for _, r := range append(req.Records[:len(req.Records):len(req.Records)], req.Deletes...) {
		if !a.isSystemWide() && !a.mayChange(r) {
			return rock.Fail("change", r.Key().String(), rock.Forbidden, rock.NotRun).
				Becausef("an operator of organisation %s changes budgets, waves and moves of its own pools only", a.identity.Organisation())
		}
	}
	return checkManualEdits(a.config, a.codec, req.Records)
}

// mayChange reports whether the identity may replace the record in force by r, or
// delete it if r has no body.
func (a access) mayChange(r rock.Record) bool {
	if current, ok := a.config.Record(r.Key()); ok && !a.mayWrite(current) {
		return false
	}
	return len(r.Body()) == 0 || a.mayWrite(r)
}

// mayWrite reports whether the record is of a kind that an organisation may write
// and all its pools belong to the identity's organisation.
func (a access) mayWrite(r rock.Record) bool {
	b, err := a.codec.Decode(r)
	if err != nil {
		// An invalid body is let through: the validation of the change refuses it
		// with a more specific reason.
		return rock.ReasonOf(err) == rock.BadInput
	}
	switch b := b.(type) {
	case record.Budget:
		return a.ownsPool(b.Pool())
	case record.Wave:
		return a.ownsAllPools(b.Spec().Pools)
	case record.Move:
		return a.ownsPool(b.Spec().From) && a.ownsPool(b.Spec().To)
	}
	return false
}
