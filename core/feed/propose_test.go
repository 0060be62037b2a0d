package feed_test

import (
	"errors"
	"strings"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/feed"

	"gotest.tools/v3/assert"
)

func TestProposeRefusesInvalidProposals(t *testing.T) {
	small := newRecord(rock.KindPool, "small", 2, 5, `{"owner":{"shared":true},"max_slots":8}`)
	c, err := feed.Build(7, []rock.Record{*newOrganisation("alpha", "a"), *small})
	assert.NilError(t, err)
	cases := map[string]struct {
		proposal rock.Proposal
		reason   rock.Reason
		want     string
	}{
		"no records":       {rock.Proposal{ID: "c1", Who: "w"}, rock.BadInput, "0 records"},
		"no id":            {rock.Proposal{Who: "w"}, rock.BadInput, "change_id"},
		"no author":        {rock.Proposal{ID: "c1"}, rock.BadInput, "author"},
		"long reason":      {rock.Proposal{ID: "c1", Who: "w", Why: strings.Repeat("x", 2001)}, rock.BadInput, "at most 2000"},
		"record twice":     {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*small}, Deletes: []rock.Record{*small}}, rock.BadInput, "twice"},
		"old version":      {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{small.WithVersion(4)}}, rock.Conflict, "at version 5"},
		"exists already":   {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{newOrganisation("alpha", "b").WithVersion(0)}}, rock.Conflict, "at version 1"},
		"missing":          {rock.Proposal{ID: "c1", Who: "w", Deletes: []rock.Record{*newOrganisation("beta", "b")}}, rock.Conflict, "does not exist"},
		"unknown kind":     {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*newRecord("rack", "r1", 1, 0, `{}`)}}, rock.BadInput, `unknown kind "rack"`},
		"name with slash":  {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*newRecord("pool", "a/b", 1, 0, `{}`)}}, rock.BadInput, "not allowed"},
		"two bad bodies":   {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*newRecord("pool", "p1", 1, 0, `{}`), *newRecord("pool", "p2", 1, 0, `[]`)}}, rock.BadInput, "2 records: bad_input: decode pool/p1: bad_input: field organisation: missing: want the name of an organisation, or spare: true for a pool that serves all; decode pool/p2"},
		"v1 drops v2 part": {rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*newRecord("pool", "small", 1, 5, `{"spare":true}`)}}, rock.SchemaUnsupported, "only schema_version 2 can represent"},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := c.Propose(x.proposal)
			assert.ErrorContains(t, err, x.want)
			assert.Equal(t, rock.ReasonOf(err), x.reason)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}

// TestConflictHoldsCurrentAndProposed guards against a conflict from which the
// author cannot see the difference between the two records.
func TestConflictHoldsCurrentAndProposed(t *testing.T) {
	c, err := feed.Build(7, []rock.Record{*newPool("tins", "alpha")})
	assert.NilError(t, err)
	mine := newRecord(rock.KindPool, "tins", 1, 9, `{"spare":true}`)
	_, err = c.Propose(rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*mine}})
	var v *rock.VersionConflict
	assert.Assert(t, errors.As(err, &v))
	assert.Equal(t, string(v.Current().Body()), `{"organisation":"alpha"}`)
	assert.Equal(t, string(v.Proposed().Body()), `{"spare":true}`)
}

// TestProposeUsesLowestSchema proposes a version 2 record that version 1 can
// express. It must be stored in version 1, so that older programs can decode it.
func TestProposeUsesLowestSchema(t *testing.T) {
	c, err := feed.Build(7, []rock.Record{*newRecord(rock.KindPool, "small", 2, 5, `{"owner":{"shared":true},"spare":true,"max_slots":8}`)})
	assert.NilError(t, err)
	edits, err := c.Propose(rock.Proposal{ID: "c1", Who: "w", Records: []rock.Record{*newRecord(rock.KindPool, "small", 2, 5, `{"owner":{"shared":true},"spare":true}`)}})
	assert.NilError(t, err)
	assert.Equal(t, edits[0].To().Schema(), 1)
	assert.Equal(t, edits[0].To().Version(), uint64(8))
	_, err = c.Check(edits)
	assert.NilError(t, err)
}
