package feed

import (
	"errors"
	"fmt"
	"strings"

	rock "bramleyrock"
)

const (
	// maxChangeRecords is the greatest number of records in one change.
	maxChangeRecords = 1000
	// maxWhyBytes is the greatest length of a reason, in bytes.
	maxWhyBytes = 2000
)

// Propose returns the edits that the proposal makes to c, with the records in
// the form in which they are kept. A record that somebody else changed is a
// [rock.Conflict] failure caused by a [rock.VersionConflict].
//
// A record's new version is the revision that the change makes, so that no
// version is used twice, also if a record is deleted and created again.
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

// checkProposal refuses a proposal that is malformed, whatever is in force.
func checkProposal(p rock.Proposal) error {
	bad := rock.Fail("check", "change "+p.ID, rock.BadInput, rock.NotRun)
	n := len(p.Records) + len(p.Deletes)
	switch {
	case rock.CheckName(p.ID) != nil:
		return bad.Because(fmt.Errorf("field change_id: %w", rock.CheckName(p.ID)))
	case p.Who == "":
		return bad.Becausef("the author is missing")
	case len(p.Why) > maxWhyBytes:
		return bad.Becausef("field why: has %d bytes: want at most %d", len(p.Why), maxWhyBytes)
	case n == 0 || n > maxChangeRecords:
		return bad.Becausef("the change has %d records: want 1 to %d", n, maxChangeRecords)
	}
	return nil
}

// checkBodies returns what is wrong with all bodies in one failure.
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
	text := make([]string, len(all))
	for i, err := range all {
		text[i] = err.Error()
	}
	return rock.Fail("check", fmt.Sprintf("%d records", len(all)), rock.ReasonOf(all[0]), rock.NotRun).
		Because(errors.New(strings.Join(text, "; ")))
}

// proposeWrite returns the edit that writes a proposed record.
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
	kept, err := codec.Canonical(r)
	if err != nil {
		return rock.Edit{}, err
	}
	kept = kept.WithVersion(uint64(c.revision) + 1)
	if !ok {
		return rock.NewEdit(r.Key(), nil, &kept), nil
	}
	return rock.NewEdit(r.Key(), &current, &kept), nil
}

// conflict returns the failure of a proposal for a record that somebody else
// changed.
func (c *Config) conflict(key rock.Key, proposed *rock.Record) error {
	fail := rock.Fail("change", key.String(), rock.Conflict, rock.NotRun)
	current, ok := c.Record(key)
	if !ok {
		return fail.Because(rock.NewVersionConflict(key, nil, proposed))
	}
	return fail.Because(rock.NewVersionConflict(key, &current, proposed))
}
