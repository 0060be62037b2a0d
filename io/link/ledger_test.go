package link

import (
	"testing"
	"time"

	rock "bramleyrock"

	"gotest.tools/v3/assert"
)

func TestLedgerVerdictOfUnknownRequest(t *testing.T) {
	now := time.Unix(100, 0)
	limits := Limits{}.withDefaults()
	cases := map[string]struct {
		lastID uint64
		ended  []uint64
		later  time.Duration
		ask    uint64
		want   rock.Verdict
	}{
		"never arrived":                       {ask: 3, want: rock.NotRun},
		"sent before the ledger began":        {lastID: 3, ask: 3, want: rock.MayHaveRun},
		"sent after the ledger began":         {lastID: 3, ask: 4, want: rock.NotRun},
		"forgotten for its age":               {ended: []uint64{3}, later: time.Hour, ask: 3, want: rock.MayHaveRun},
		"older than one that was forgotten":   {ended: []uint64{5}, later: time.Hour, ask: 3, want: rock.MayHaveRun},
		"younger than one that was forgotten": {ended: []uint64{5}, later: time.Hour, ask: 6, want: rock.NotRun},
		"older than one that is still known":  {ended: []uint64{5}, ask: 3, want: rock.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, s := newLedger(limits, c.lastID), &session{}
			l.attach(s)
			for _, id := range c.ended {
				r, ok := l.start(s, id, func() {})
				assert.Assert(t, ok)
				l.end(now, id, r, nil, nil)
			}
			r, _ := l.start(s, 100, func() {})
			l.end(now.Add(c.later), 100, r, nil, nil)
			_, err := l.find(c.ask)
			assert.Equal(t, rock.VerdictOf(err), c.want, "%v", err)
		})
	}
}

func TestReplacedConnectionTakesNoRequests(t *testing.T) {
	l, older, newer := newLedger(Limits{}.withDefaults(), 0), &session{}, &session{}
	l.attach(older)
	l.attach(newer)
	_, err := l.find(1)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	_, ok := l.start(older, 1, func() {})
	assert.Assert(t, !ok, "a late request of a replaced connection was run after it was reported as not run")
}
