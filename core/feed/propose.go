package feed

import (
	"errors"
	"fmt"
	"strings"

	rock "bramleyrock"
)

const (
	// maxChangeRecords is the maximum number of records in one change.
	maxChangeRecords = 1000
	// maxWhyBytes is the maximum length of the author's reason for a change.
	maxWhyBytes = 2000
)

// Propose returns the edits that the proposal makes to c, with each record in the
// schema version in which it is stored. If a record's version is not the current
// one, Propose returns a [rock.Conflict] failure caused by a
// [rock.VersionConflict].
//
// The new version of a record is the revision that the change creates, so that
// versions are unique even if a record is deleted and created again.
func (c *Config) Propose(p rock.Proposal) ([]rock.Edit, error) {
	if err := checkProposal(p); err != nil {
		return nil, err
	}
	edits := make([]rock.Edit, 0, len(p.Records)+len(p.Deletes))
	seen := map[rock.Key]bool{}
	for _, r := range append(p.Records[:len(p.Records):len(p.Records)], p.Deletes...) {
		if seen[r.Key()] {
			return nil, invalid(r.Key(), "the record is in the change twice")
		}
		seen[r.Key()] = true
	}
	if err := c.checkBodies(p.Records); err != nil {
		return nil, err
	}
	for _, r := range p.Records {
		e, err := c.proposeWrite(r)
		if err != nil {
			return nil, err
		}
		edits = append(edits, e)
	}
	for _, r := range p.Deletes {
		current, ok := c.Record(r.Key())
		if !ok || current.Version() != r.Version() {
			return nil, c.conflict(r.Key(), nil)
		}
		edits = append(edits, rock.NewEdit(r.Key(), &current, nil))
	}
	return edits, nil
}

// checkProposal returns an error if the proposal is invalid regardless of the
// configuration in force.
func checkProposal(p rock.Proposal) error {
	fail := rock.Fail("check", "change "+p.ID, rock.BadInput, rock.NotRun)
	n := len(p.Records) + len(p.Deletes)
	switch {
	case rock.CheckName(p.ID) != nil:
		return fail.Because(fmt.Errorf("field change_id: %w", rock.CheckName(p.ID)))
	case p.Who == "":
		return fail.Becausef("the author is empty: want a name")
	case len(p.Why) > maxWhyBytes:
		return fail.Becausef("field why: has %d bytes: want at most %d", len(p.Why), maxWhyBytes)
	case n == 0 || n > maxChangeRecords:
		return fail.Becausef("the change has %d records: want 1 to %d", n, maxChangeRecords)
	}
	return nil
}

// checkBodies returns one failure that names the invalid fields of all records, so
// that the author can correct them at once. Its reason is that of the first record.
func (c *Config) checkBodies(records []rock.Record) error {
	var all []error
	for _, r := range records {
		if _, err := c.settings.Codec.Decode(r); err != nil {
			all = append(all, err)
		}
	}
	if len(all) < 2 {
		return errors.Join(all...)
	}
	texts := make([]string, len(all))
	for i, err := range all {
		texts[i] = err.Error()
	}
	return rock.Fail("check", fmt.Sprintf("%d records", len(all)), rock.ReasonOf(all[0]), rock.NotRun).
		Because(errors.New(strings.Join(texts, "; ")))
}

// proposeWrite returns the edit that creates or replaces a record.
func (c *Config) proposeWrite(r rock.Record) (rock.Edit, error) {
	codec := c.settings.Codec
	current, ok := c.Record(r.Key())
	if current.Version() != r.Version() {
		return rock.Edit{}, c.conflict(r.Key(), &r)
	}
	if ok {
		if err := codec.CheckReplace(current, &r); err != nil {
			return rock.Edit{}, err
		}
	}
	canonical, err := codec.Canonical(r)
	if err != nil {
		return rock.Edit{}, err
	}
	canonical = canonical.WithVersion(uint64(c.revision) + 1)
	if !ok {
		return rock.NewEdit(r.Key(), nil, &canonical), nil
	}
	return rock.NewEdit(r.Key(), &current, &canonical), nil
}

// conflict returns the failure of a proposal whose version of the record is not
// the current one. A nil proposed means a deletion.
func (c *Config) conflict(key rock.Key, proposed *rock.Record) error {
	fail := rock.Fail("change", key.String(), rock.Conflict, rock.NotRun)
	current, ok := c.Record(key)
	if !ok {
		return fail.Because(rock.NewVersionConflict(key, nil, proposed))
	}
	return fail.Because(rock.NewVersionConflict(key, &current, proposed))
}
