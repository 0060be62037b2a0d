package wave_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/wave"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newRecord(kind rock.Kind, name, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), 1, 0, []byte(body))
}

// hostRecord returns the record of host h<i>, which is open if closedBy is "".
func hostRecord(i int, closedBy string) rock.Record {
	return newRecord(rock.KindHost, fmt.Sprintf("h%d", i), fmt.Sprintf(
		`{"address":"10.0.0.%d:9000","zone":"a","rack":"a1","pool":"tins","slots":8,"open":%v,"closed_by":%q}`, i, closedBy == "", closedBy))
}

// waveRecord returns the record of wave w1, whose max_parallel is 2, in the state.
func waveRecord(state string) rock.Record {
	return newRecord(rock.KindWave, "w1", fmt.Sprintf(`{"pools":["tins"],"action":"reboot","state":%q,"max_parallel":2}`, state))
}

// TestReviewer checks that a wave cannot close more hosts than max_parallel, also
// when one change closes several hosts, that only a running wave closes hosts, and
// that state changes and deletes of a wave are refused where they are not allowed.
func TestReviewer(t *testing.T) {
	cases := map[string]struct {
		state     string
		records   []rock.Record
		deletes   []rock.Record
		want      string
		closedNow int
	}{
		"within max_parallel":  {"running", []rock.Record{hostRecord(2, "wave/w1")}, nil, "", 1},
		"over max_parallel":    {"running", []rock.Record{hostRecord(2, "wave/w1")}, nil, "would hold 3 hosts closed: its max_parallel is 2", 2},
		"two at once":          {"running", []rock.Record{hostRecord(2, "wave/w1"), hostRecord(3, "wave/w1")}, nil, "would hold 3 hosts", 1},
		"paused":               {"paused", []rock.Record{hostRecord(2, "wave/w1")}, nil, "wave w1 is paused", 0},
		"unknown wave":         {"running", []rock.Record{hostRecord(2, "wave/w9")}, nil, "wave w9 does not exist", 0},
		"pause":                {"running", []rock.Record{waveRecord("paused")}, nil, "", 0},
		"back to planned":      {"running", []rock.Record{waveRecord("planned")}, nil, `state "planned" cannot follow "running"`, 0},
		"resume after abort":   {"aborted", []rock.Record{waveRecord("running")}, nil, `state "running" cannot follow "aborted"`, 0},
		"delete while it runs": {"running", nil, []rock.Record{waveRecord("running")}, "abort it before it is deleted", 0},
		"delete with hosts":    {"aborted", nil, []rock.Record{waveRecord("aborted")}, "holds 1 hosts closed", 1},
		"delete":               {"done", nil, []rock.Record{waveRecord("done")}, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			records := []rock.Record{waveRecord(c.state)}
			for i := range 4 {
				closedBy := ""
				if i < c.closedNow {
					closedBy = "wave/w1"
				}
				records = append(records, hostRecord(i, closedBy))
			}
			b := fleet.NewBook(wave.Reviewer{}, records...)
			p := rock.Proposal{ID: "c1"}
			for _, r := range c.records {
				p.Records = append(p.Records, r.WithVersion(1))
			}
			for _, r := range c.deletes {
				p.Deletes = append(p.Deletes, r.WithVersion(1))
			}
			_, err := b.Change(context.Background(), start, p)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}
