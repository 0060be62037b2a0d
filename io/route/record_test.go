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

// recordDir is the directory to which traces are written; "" means none.
var recordDir = flag.String("record", "", "write traces to this directory")

// recordSend adds the events of one send to the trace. Sends with the same label
// are attempts of the caller at one request.
func (s *cluster) recordSend(r rock.Request, label, entry string, arrived time.Time, answer rock.Answer, err error) {
	s.trace.Add(trace.Event{At: arrived, Kind: trace.Arrived, Entry: entry, RequestID: r.ID(), Pool: r.Pool(), Organisation: r.Organisation(), IdempotencyKey: label})
	end := trace.Event{At: time.Now(), Kind: trace.Answered, RequestID: r.ID()}
	if err != nil {
		end.Kind, end.Verdict, end.Reason = trace.Refused, rock.VerdictOf(err), rock.ReasonOf(err)
	} else {
		end.Digest = trace.Digest(answer.Payload())
	}
	s.trace.Add(end)
}

// recordRuns adds the runs that the workers recorded to the trace.
func (s *cluster) recordRuns() {
	for host, runs := range s.work.Runs() {
		for _, r := range runs {
			parts := strings.Split(r.TaskID, ".")
			id := strings.Join(parts[:len(parts)-2], ".")
			s.trace.Add(trace.Event{At: r.Start, Kind: trace.Started, Host: host, TaskID: r.TaskID, RequestID: id, Pool: r.Pool})
			end := trace.Event{At: r.End, Kind: trace.Ended, Host: host, TaskID: r.TaskID, RequestID: id, Pool: r.Pool, State: string(r.State)}
			if r.State == rock.TaskDone {
				end.Digest = trace.Digest(fmt.Appendf(nil, `{"echo":%q}`, r.Key))
			}
			s.trace.Add(end)
		}
	}
}

// TestRecord checks the traces of 100 schedules of resends with and without
// keys. Without keys the at_most_once outcome must be violated, which shows that
// the check detects a repeated run. The flag -record also writes the traces.
func TestRecord(t *testing.T) {
	const schedules, seed = 100, 4
	cases := map[string]struct {
		withKey  bool
		violated string
	}{
		"resends_keyed":   {true, ""},
		"resends_unkeyed": {false, "at_most_once"},
	}
	outcomes := []string{"at_most_once", "not_run_true", "whole_answers"}
	checks, err := trace.Select(outcomes...)
	assert.NilError(t, err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.trace = &trace.Log{}
			random := rand.New(rand.NewPCG(seed, 0))
			for i := range schedules {
				key := ""
				if c.withKey {
					key = issueKey(t, s, fmt.Sprintf("e%d", 1+random.IntN(3)))
				}
				s.replaceWorkers()
				runSchedule(s, random, key, fmt.Sprint("check", i))
				s.recordRuns()
			}
			found := trace.Check(s.trace.Events(), checks)
			assert.Equal(t, len(found) > 0, c.violated != "", "%v", found)
			for _, v := range found {
				assert.Equal(t, v.Outcome(), c.violated)
			}
			out := io.Discard
			if *recordDir != "" {
				f, err := os.Create(filepath.Join(*recordDir, name+".jsonl"))
				assert.NilError(t, err)
				defer f.Close()
				out = f
			}
			assert.NilError(t, s.trace.WriteTrace(out, trace.Header{
				Name: name, Seed: seed, Outcomes: outcomes, Command: "go test ./io/route -run TestRecord -record DIRECTORY",
			}))
		})
	}
}
