package feed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/record"

	"gotest.tools/v3/assert"
)

// describe returns the records of a configuration and the content of its pool and
// host indexes, for comparison.
func describe(c *feed.Config) []string {
	var lines []string
	for _, r := range c.All() {
		lines = append(lines, fmt.Sprint(r.Key(), r.Version(), string(r.Body())))
	}
	for _, p := range c.PoolNames() {
		known, ok := c.Pool(p)
		lines = append(lines, fmt.Sprint(p, known, ok, c.PoolHosts(p, ""), c.PoolHosts(p, "z3")))
	}
	return lines
}

// TestApplyEqualsBuild guards against indexes that drift from the records: it
// applies random edits of hosts one by one and compares the result with a
// configuration that is built from the same records.
func TestApplyEqualsBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	c, err := feed.Build(7, newFleetRecords(60))
	assert.NilError(t, err)
	for range 400 {
		c, err = c.Apply(newChange(c.Revision()+1, randomEdit(random, c)))
		assert.NilError(t, err)
	}
	built, err := feed.Build(c.Revision(), c.All())
	assert.NilError(t, err)
	assert.DeepEqual(t, describe(c), describe(built))
}

// randomEdit returns the creation, replacement or deletion of a random host.
func randomEdit(random *rand.Rand, c *feed.Config) rock.Edit {
	next := newHost(random.IntN(80), fmt.Sprintf("p%d", random.IntN(30)), 1)
	next = new(next.WithVersion(uint64(c.Revision()) + 1))
	current, ok := c.Record(next.Key())
	switch {
	case !ok:
		return createEdit(next)
	case random.IntN(4) == 0:
		return deleteEdit(&current)
	}
	return replaceEdit(&current, next)
}

// TestApplyRequiresNextRevision guards against changes that are applied twice, out
// of order or with a gap, and against Apply modifying its receiver.
func TestApplyRequiresNextRevision(t *testing.T) {
	c, err := feed.Build(7, nil)
	assert.NilError(t, err)
	for _, r := range []rock.Revision{6, 7, 9} {
		_, err = c.Apply(newChange(r, createEdit(newOrganisation("alpha", "s"))))
		assert.ErrorContains(t, err, "want 8")
	}
	next, err := c.Apply(newChange(8, createEdit(newOrganisation("alpha", "s"))))
	assert.NilError(t, err)
	assert.Equal(t, next.Revision(), rock.Revision(8))
	assert.Equal(t, c.Quota("alpha"), 0)
	assert.Equal(t, next.Quota("alpha"), 40)
}

// TestApplyRefusesStaleEdits guards against edits that do not start from the
// current version of their record.
func TestApplyRefusesStaleEdits(t *testing.T) {
	c, err := feed.Build(7, []rock.Record{*newOrganisation("alpha", "s")})
	assert.NilError(t, err)
	_, err = c.Apply(newChange(8, createEdit(newOrganisation("alpha", "t"))))
	assert.ErrorContains(t, err, "exists already")
	_, err = c.Apply(newChange(8, deleteEdit(new(newOrganisation("alpha", "s").WithVersion(9)))))
	assert.ErrorContains(t, err, "version 1, not 9")
	_, err = c.Apply(newChange(8, deleteEdit(newOrganisation("beta", "s"))))
	assert.ErrorContains(t, err, "does not exist")
}

func TestAuthenticate(t *testing.T) {
	c, err := feed.Settings{BootstrapDigest: record.Digest("root")}.Build(1, newFleetRecords(0))
	assert.NilError(t, err)
	cases := map[string]struct{ token, name, organisation string }{
		"caller":   {"secret-7", "o7/line-4", "o7"},
		"operator": {"root", "operator", ""},
		"unknown":  {"secret-999", "", ""},
		"empty":    {"", "", ""},
		"a digest": {record.Digest("secret-7"), "", ""},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			id, err := c.Authenticate(x.token)
			assert.Equal(t, id.Name(), x.name)
			assert.Equal(t, id.Organisation(), x.organisation)
			assert.Equal(t, err == nil, x.name != "")
		})
	}
}

// TestUndecodableRecordsHaveNoEffect replaces a pool by a record of a schema
// version that the program does not support. The old content must not stay in
// force, and the new record must be kept unchanged.
func TestUndecodableRecordsHaveNoEffect(t *testing.T) {
	v1Settings := feed.Settings{Codec: record.NewCodec(1)}
	c, err := v1Settings.Build(1, []rock.Record{*newOrganisation("alpha", "s"), *newPool("tins", "alpha"), *newHost(1, "tins", 1)})
	assert.NilError(t, err)
	before, _ := c.Record(rock.NewKey(rock.KindPool, "tins"))
	newer := newRecord(rock.KindPool, "tins", 2, 2, `{"owner":{"organisation":"alpha"},"max_slots":8}`)
	c, err = c.Apply(newChange(2, replaceEdit(&before, newer)))
	assert.NilError(t, err)
	_, ok := c.Pool("tins")
	assert.Assert(t, !ok)
	assert.Equal(t, rock.ReasonOf(c.DecodeErrors()["pool/tins"]), rock.SchemaUnsupported)
	_, err = c.Check([]rock.Edit{createEdit(newHost(2, "tins", 1))})
	assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)
	kept, ok := c.Record(newer.Key())
	assert.Assert(t, ok)
	assert.Equal(t, string(kept.Body()), string(newer.Body()))
}

// BenchmarkApply measures one change in fleets of several sizes; its cost should
// not grow with the fleet.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c, err := feed.Build(1, newFleetRecords(n))
			assert.NilError(b, err)
			current := newHost(9, "p9", 1)
			b.ReportAllocs()
			for b.Loop() {
				next := new(current.WithVersion(current.Version() + 1))
				c, err = c.Apply(newChange(c.Revision()+1, replaceEdit(current, next)))
				assert.NilError(b, err)
				current = next
			}
		})
	}
}
