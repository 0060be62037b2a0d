package move_test

import (
	"context"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/drain"
	"bramleyrock/core/move"
	"bramleyrock/core/record"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

// edit returns the current record with its body changed by the function.
func edit[T record.HostSpec | record.MoveSpec | record.WaveSpec](t *testing.T, b *fleet.Book, kind rock.Kind, name string, decode func(rock.Record) (T, error), change func(*T)) rock.Record {
	t.Helper()
	f, _ := b.Fleet()
	r, ok := f.Record(rock.NewKey(kind, name))
	assert.Assert(t, ok)
	body, err := decode(r)
	assert.NilError(t, err)
	change(&body)
	r, err = record.Rewrite(r, body)
	assert.NilError(t, err)
	return r
}

// While a move drains host h1, the reviewer refuses changes that bypass the move or skip
// one of its states, and allows all others.
func TestReviewerRefusesBypasses(t *testing.T) {
	hostChange := func(change func(*record.HostSpec)) func(*testing.T, *fleet.Book) rock.Proposal {
		return func(t *testing.T, b *fleet.Book) rock.Proposal {
			return rock.Proposal{Records: []rock.Record{edit(t, b, rock.KindHost, "h1", record.HostSpecOf, change)}}
		}
	}
	moveChange := func(change func(*record.MoveSpec)) func(*testing.T, *fleet.Book) rock.Proposal {
		return func(t *testing.T, b *fleet.Book) rock.Proposal {
			return rock.Proposal{Records: []rock.Record{edit(t, b, rock.KindMove, "m1", record.MoveSpecOf, change)}}
		}
	}
	deletion := func(kind rock.Kind, name string) func(*testing.T, *fleet.Book) rock.Proposal {
		return func(_ *testing.T, b *fleet.Book) rock.Proposal {
			f, _ := b.Fleet()
			r, _ := f.Record(rock.NewKey(kind, name))
			return rock.Proposal{Deletes: []rock.Record{r}}
		}
	}
	cases := map[string]struct {
		propose func(*testing.T, *fleet.Book) rock.Proposal
		want    string
	}{
		"pool changed without a move": {hostChange(func(h *record.HostSpec) { h.Pool = "lids" }), "without a move of the host"},
		"address changed":             {hostChange(func(h *record.HostSpec) { h.Address = "127.0.0.1:9001" }), "before its address or zone changes"},
		"closed host opened":          {hostChange(func(h *record.HostSpec) { h.Open, h.ClosedBy = true, "" }), "closed for move/m1"},
		"slots changed":               {hostChange(func(h *record.HostSpec) { h.Slots = 4 }), ""},
		"host deleted":                {deletion(rock.KindHost, "h1"), "before it is deleted"},
		"move deleted":                {deletion(rock.KindMove, "m1"), "cancel it before it is deleted"},
		"state skipped":               {moveChange(func(m *record.MoveSpec) { m.State = record.MoveJoining }), `state "joining" cannot follow "draining"`},
		"other pool":                  {moveChange(func(m *record.MoveSpec) { m.To = "caps" }), "cannot change"},
		"cancelled":                   {moveChange(func(m *record.MoveSpec) { m.State = record.MoveCancelled }), ""},
		"created in a later state": {func(*testing.T, *fleet.Book) rock.Proposal {
			return rock.Proposal{Records: []rock.Record{newRecord(rock.KindMove, "m9", `{"host":"h1","from":"tins","to":"caps","state":"released"}`)}}
		}, "want one of: wanted"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"), moveRecord("m1", "h1", "tins", "lids"))
			applyStep(t, b, start, "m1", drain.View{})
			_, err := b.Change(context.Background(), start, c.propose(t, b))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}
