package books_test

import (
	"context"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// twoPrograms is an old program, which supports schema version 1, and a new one,
// which supports versions 1 and 2, on the same table.
type twoPrograms struct {
	t    *testing.T
	old  *books.Books
	both *books.Books
}

func newTwoPrograms(t *testing.T) twoPrograms {
	d := depot.New(depot.Settings{})
	s := settings(d)
	s.Codec = record.NewCodec(1)
	x := twoPrograms{t: t, old: entry(t, s), both: entry(t, settings(d))}
	x.write(x.both, "setup", organisation("alpha", 0, 1), body(rock.KindPool, "tins", 1, 0, `{"organisation":"alpha"}`))
	return x
}

// write commits a change that must be accepted and waits until both programs have
// it in force.
func (x twoPrograms) write(by *books.Books, id string, records ...rock.Record) rock.Change {
	x.t.Helper()
	c := change(x.t, by, id, records...)
	waitForRevision(x.t, x.old, c.Revision())
	waitForRevision(x.t, x.both, c.Revision())
	return c
}

// refused proposes a change that must be refused for its schema version.
func (x twoPrograms) refused(by *books.Books, p rock.Proposal) {
	x.t.Helper()
	before := by.Revision()
	_, err := by.Change(context.Background(), time.Now(), p)
	assert.Equal(x.t, rock.ReasonOf(err), rock.SchemaUnsupported, "%v", err)
	assert.Equal(x.t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(x.t, by.Revision(), before)
}

// read returns a record in force that must exist.
func (x twoPrograms) read(by *books.Books, kind rock.Kind, name string) rock.Record {
	x.t.Helper()
	r, ok := by.Config().Record(rock.NewKey(kind, name))
	assert.Assert(x.t, ok)
	return r
}

// A version 2 record that version 1 can express is converted for the old program.
func TestOldProgramReadsWhatItCanExpress(t *testing.T) {
	x := newTwoPrograms(t)
	x.write(x.both, "c1", body(rock.KindBudget, "b1", 2, 0, `{"pool":"tins","min_available":{"count":8},"note":"kept"}`))
	r := x.read(x.old, rock.KindBudget, "b1")
	assert.Equal(t, r.Schema(), 1)
	assert.Equal(t, string(r.Body()), `{"min_available":8,"note":"kept","pool":"tins"}`)
	assert.Equal(t, len(x.old.Config().DecodeErrors()), 0)
}

// When the old program writes a record, fields that it does not know stay unchanged.
func TestUnknownFieldsSurviveTheOldProgram(t *testing.T) {
	x := newTwoPrograms(t)
	x.write(x.both, "c1", body(rock.KindBudget, "b1", 2, 0, `{"pool":"tins","min_available":{"count":8},"note":{"a":[1e400]}}`))
	r := x.read(x.old, rock.KindBudget, "b1")
	b, err := record.DecodeAs[record.Budget](record.NewCodec(1), r)
	assert.NilError(t, err)
	again, err := b.Encode(1)
	assert.NilError(t, err)
	x.write(x.old, "c2", body(rock.KindBudget, "b1", 1, r.Version(), string(again)))
	v2, err := record.Codec{}.Convert(x.read(x.both, rock.KindBudget, "b1"), 2)
	assert.NilError(t, err)
	assert.Equal(t, string(v2.Body()), `{"min_available":{"count":8},"note":{"a":[1e400]},"pool":"tins"}`)
}

// A record that version 1 cannot express cannot be replaced by a version 1 record, and
// the old program cannot delete it: the content would be lost unnoticed.
func TestOldProgramCannotDropWhatItDoesNotKnow(t *testing.T) {
	x := newTwoPrograms(t)
	c := x.write(x.both, "c1", body(rock.KindBudget, "b1", 2, 0, `{"pool":"tins","min_available":{"share":0.8}}`))
	version1 := body(rock.KindBudget, "b1", 1, uint64(c.Revision()), `{"pool":"tins","min_available":1}`)
	x.refused(x.old, proposal("c2", version1))
	x.refused(x.both, proposal("c3", version1))
	x.refused(x.old, rock.Proposal{ID: "c4", Who: "operator", Deletes: []rock.Record{version1}})
	unchanged := x.read(x.old, rock.KindBudget, "b1")
	assert.Equal(t, unchanged.Schema(), 2)
	_, err := record.Codec{}.Convert(unchanged, 1)
	assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)

	// Once version 1 can express the content again, both programs can change it.
	c = x.write(x.both, "c5", body(rock.KindBudget, "b1", 2, unchanged.Version(), `{"pool":"tins","min_available":{"count":3}}`))
	x.write(x.old, "c6", body(rock.KindBudget, "b1", 1, uint64(c.Revision()), `{"pool":"tins","min_available":4}`))
}

// The old program neither serves nor adds hosts to a pool that it cannot decode. Other
// records can still be changed.
func TestOldProgramLeavesUnreadPoolsAlone(t *testing.T) {
	x := newTwoPrograms(t)
	pool := x.read(x.both, rock.KindPool, "tins")
	x.write(x.both, "c1", body(rock.KindPool, "tins", 2, pool.Version(), `{"owner":{"organisation":"alpha"},"max_slots":8}`))
	_, ok := x.old.Config().Pool("tins")
	assert.Assert(t, !ok, "the old program must not serve a pool that it cannot read")
	_, ok = x.both.Config().Pool("tins")
	assert.Assert(t, ok)
	host := body(rock.KindHost, "h1", 1, 0, `{"address":"10.0.0.1:9000","zone":"a","pool":"tins","slots":9}`)
	x.refused(x.old, proposal("c2", host))
	_, err := x.both.Change(context.Background(), time.Now(), proposal("c3", host))
	assert.ErrorContains(t, err, "max_slots is 8")
	x.write(x.old, "c4", organisation("beta", 0, 1))
}
