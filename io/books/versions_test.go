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

// two is a program of version 1 and one of version 2 on the same table.
type two struct {
	t    *testing.T
	old  *books.Books
	both *books.Books
}

func newTwo(t *testing.T) two {
	d := depot.New(depot.Settings{})
	s := settings(d)
	s.Codec = record.NewCodec(1)
	x := two{t: t, old: entry(t, s), both: entry(t, settings(d))}
	x.write(x.both, "setup", organisation("alpha", 0, 1), body(rock.KindPool, "tins", 1, 0, `{"organisation":"alpha"}`))
	return x
}

// write makes a change that must be accepted and waits until both have it.
func (x two) write(by *books.Books, id string, records ...rock.Record) rock.Change {
	x.t.Helper()
	c := change(x.t, by, id, records...)
	reaches(x.t, x.old, c.Revision())
	reaches(x.t, x.both, c.Revision())
	return c
}

// refused makes a change that must be refused for its schema version.
func (x two) refused(by *books.Books, p rock.Proposal) {
	x.t.Helper()
	before := by.Revision()
	_, err := by.Change(context.Background(), time.Now(), p)
	assert.Equal(x.t, rock.ReasonOf(err), rock.SchemaUnsupported, "%v", err)
	assert.Equal(x.t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(x.t, by.Revision(), before)
}

func (x two) read(by *books.Books, kind rock.Kind, name string) rock.Record {
	x.t.Helper()
	r, ok := by.Config().Record(rock.NewKey(kind, name))
	assert.Assert(x.t, ok)
	return r
}

func TestOldProgramReadsWhatItCanExpress(t *testing.T) {
	x := newTwo(t)
	x.write(x.both, "c1", body(rock.KindBudget, "b1", 2, 0, `{"pool":"tins","min_available":{"count":8},"note":"kept"}`))
	r := x.read(x.old, rock.KindBudget, "b1")
	assert.Equal(t, r.Schema(), 1)
	assert.Equal(t, string(r.Body()), `{"min_available":8,"note":"kept","pool":"tins"}`)
	assert.Equal(t, len(x.old.Config().DecodeErrors()), 0)
}

func TestUnknownFieldsSurviveTheOldProgram(t *testing.T) {
	x := newTwo(t)
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

func TestOldProgramCannotDropWhatItDoesNotKnow(t *testing.T) {
	x := newTwo(t)
	c := x.write(x.both, "c1", body(rock.KindBudget, "b1", 2, 0, `{"pool":"tins","min_available":{"share":0.8}}`))
	low := body(rock.KindBudget, "b1", 1, uint64(c.Revision()), `{"pool":"tins","min_available":1}`)
	x.refused(x.old, proposal("c2", low))
	x.refused(x.both, proposal("c3", low))
	x.refused(x.old, rock.Proposal{ID: "c4", Who: "operator", Deletes: []rock.Record{low}})
	kept := x.read(x.old, rock.KindBudget, "b1")
	assert.Equal(t, kept.Schema(), 2)
	_, err := record.Codec{}.Convert(kept, 1)
	assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)

	// A later version 2 content that version 1 can express is open to both.
	c = x.write(x.both, "c5", body(rock.KindBudget, "b1", 2, kept.Version(), `{"pool":"tins","min_available":{"count":3}}`))
	x.write(x.old, "c6", body(rock.KindBudget, "b1", 1, uint64(c.Revision()), `{"pool":"tins","min_available":4}`))
}

func TestOldProgramLeavesUnreadPoolsAlone(t *testing.T) {
	x := newTwo(t)
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
