package route_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

// record is a directory in which traces are recorded, or "".
var record = flag.String("record", "", "record traces in this directory")

// note adds the events of one send to the log. The label joins the sends that
// the caller means to be one request.
func (s *site) note(r rock.Request, label, entry string, arrived time.Time, answer rock.Answer, err error) {
	s.log.Add(trace.Event{At: arrived, Kind: trace.Arrived, Entry: entry, RequestID: r.ID(), Pool: r.Pool(), Organisation: r.Organisation(), IdempotencyKey: label})
	end := trace.Event{At: time.Now(), Kind: trace.Answered, RequestID: r.ID()}
	if err != nil {
		end.Kind, end.Verdict, end.Reason = trace.Refused, rock.VerdictOf(err), rock.ReasonOf(err)
	} else {
		end.Digest = trace.Digest(answer.Payload())
	}
	s.log.Add(end)
}

// noteRuns adds the events of the workers' ledgers to the log.
func (s *site) noteRuns() {
	for host, runs := range s.work.Runs() {
		for _, r := range runs {
			parts := strings.Split(r.TaskID, ".")
			id := strings.Join(parts[:len(parts)-2], ".")
			s.log.Add(trace.Event{At: r.Start, Kind: trace.Started, Host: host, TaskID: r.TaskID, RequestID: id, Pool: r.Pool})
			end := trace.Event{At: r.End, Kind: trace.Ended, Host: host, TaskID: r.TaskID, RequestID: id, Pool: r.Pool, State: string(r.State)}
			if r.State == rock.TaskDone {
				end.Digest = trace.Digest(fmt.Appendf(nil, `{"echo":%q}`, r.Key))
			}
			s.log.Add(end)
		}
	}
}

// TestRecord judges 100 schedules of resends, with and without keys, and
// records both if asked to.
func TestRecord(t *testing.T) {
	const schedules, seed = 100, 4
	cases := map[string]struct {
		withKey bool
		broken  string
	}{
		"resends_keyed":   {true, ""},
		"resends_unkeyed": {false, "at_most_once"},
	}
	outcomes := []string{"at_most_once", "not_run_true", "whole_answers"}
	judges, err := trace.Select(outcomes...)
	assert.NilError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.log = &trace.Log{}
			random := rand.New(rand.NewPCG(seed, 0))
			for i := range schedules {
				key := ""
				if c.withKey {
					key = issue(t, s, fmt.Sprintf("e%d", 1+random.IntN(3)))
				}
				s.freshWorkers()
				schedule(s, random, key, fmt.Sprint("check", i))
				s.noteRuns()
			}
			found := trace.Check(s.log.Events(), judges)
			assert.Equal(t, len(found) > 0, c.broken != "", "%v", found)
			for _, v := range found {
				assert.Equal(t, v.Outcome(), c.broken)
			}
			out := io.Discard
			if *record != "" {
				f, err := os.Create(filepath.Join(*record, name+".jsonl"))
				assert.NilError(t, err)
				defer f.Close()
				out = f
			}
			assert.NilError(t, s.log.WriteTrace(out, trace.Header{
				Name: name, Seed: seed, Outcomes: outcomes, Command: "go test ./io/route -run TestRecord -record DIRECTORY",
			}))
		})
	}
}
