package works_test

import (
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	valid := works.Step{Count: 1}
	cases := map[string]struct {
		spec works.Spec
		want string
	}{
		"no steps":                {works.Spec{}, "no steps"},
		"no tasks":                {works.Spec{Steps: []works.Step{{}}}, "step 0: 0 tasks"},
		"depends on a later step": {works.Spec{Steps: []works.Step{{Count: 1, DependsOn: []int{1}}, valid}}, "depends on step 1"},
		"depends on itself":       {works.Spec{Steps: []works.Step{{Count: 1, DependsOn: []int{0}}}}, "depends on step 0"},
		"negative resources":      {works.Spec{Steps: []works.Step{{Count: 1, Need: rock.Resources{MemoryMB: -1}}}}, "negative"},
		"no interval":             {works.Spec{Steps: []works.Step{valid}, Times: 2}, "interval"},
		"long payload":            {works.Spec{Steps: []works.Step{valid}, Payload: string(make([]byte, works.MaxPayload+1))}, "payload"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.ErrorContains(t, c.spec.Check(), c.want) })
	}
}

// TestRowsRoundTrip guards against fields that are lost or changed when a row is
// encoded and decoded, such as the microseconds of times.
func TestRowsRoundTrip(t *testing.T) {
	j := works.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", Accepted: time.UnixMicro(1796371200123456).UTC(),
		Spec: works.Spec{Payload: "p", Times: 2, First: time.UnixMilli(1796371200500).UTC(), Interval: time.Second, Steps: []works.Step{
			{Count: 2, Need: rock.Resources{MilliCores: 500, MemoryMB: 256}, Estimate: 900 * time.Millisecond},
			{Count: 1, DependsOn: []int{0}, Persistent: true, MaxUnavailable: 1, MaxPerWorker: 2, Label: "a", Rack: "r1"},
		}},
	}
	data, err := works.EncodeJob(j)
	assert.NilError(t, err)
	got, err := works.DecodeJob(data)
	assert.NilError(t, err)
	got.Accepted, got.Spec.First = got.Accepted.UTC(), got.Spec.First.UTC()
	assert.DeepEqual(t, got, j)
	p := works.Progress{Started: true, Tasks: []works.TaskProgress{{Step: 1, Index: 2, Failed: []int64{4, 9}, Run: 9, Checkpoint: "c", Worker: "w"}}}
	data, reduced, err := works.EncodeProgress(p, 1<<10)
	assert.NilError(t, err)
	assert.Assert(t, !reduced)
	back, err := works.DecodeProgress(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, p)
}

func TestTaskName(t *testing.T) {
	n := works.TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 17}
	assert.Equal(t, n.String(), "5c0e7a21d94b36f8.1.2.17")
	got, err := works.ParseTaskName(n.String())
	assert.NilError(t, err)
	assert.Equal(t, got, n)
	for _, bad := range []string{"", "a.1.2", "a.1.2.x", "a.1.2.-1", "a.1.2.3.4"} {
		_, err := works.ParseTaskName(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// TestLongestPrefixSelectsTheQueue guards against a call that reaches the queue
// of a shorter prefix or of another host.
func TestLongestPrefixSelectsTheQueue(t *testing.T) {
	c := works.Config{Queues: []works.Queue{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/b/"},
	}}
	cases := map[string]struct{ host, path, queue, rest string }{
		"short":        {"h", "/a/x", "short", "x"},
		"long":         {"h", "/a/b/x", "long", "x"},
		"other host":   {"i", "/a/b/x", "other", "x"},
		"no such path": {"h", "/b/x", "", ""},
		"no such host": {"j", "/a/x", "", ""},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			q, rest, _ := c.FindQueue(k.host, k.path)
			assert.Equal(t, q.Name, k.queue)
			assert.Equal(t, rest, k.rest)
		})
	}
}

// FuzzDecodeJob checks that DecodeJob does not panic on any row value, and that
// every job that it accepts can be encoded again.
func FuzzDecodeJob(f *testing.F) {
	data, err := works.EncodeJob(works.Job{ID: "a", Spec: works.Spec{Steps: []works.Step{{Count: 1}}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := works.DecodeJob(data)
		if err != nil {
			return
		}
		_, err = works.EncodeJob(j)
		assert.NilError(t, err)
	})
}

// TestProgressFitsItsRow guards against a row that the table refuses, whatever the tasks of
// a job did: the refused transaction would be written again for good.
func TestProgressFitsItsRow(t *testing.T) {
	const limit = 48 << 10
	failures := func(n int) []int64 {
		list := make([]int64, n)
		for i := range list {
			list[i] = 1<<60 + int64(i)
		}
		return list
	}
	cases := map[string]struct {
		task    works.TaskProgress
		reduced bool
		failed  int // stored failures of a task
	}{
		"done":              {works.TaskProgress{Done: true, Run: 1 << 60}, false, 0},
		"running":           {works.TaskProgress{Run: 1 << 60, Worker: "i-0123456789abcdef", Checkpoint: "00000bb87a21d94b"}, false, 0},
		"failed often":      {works.TaskProgress{Run: 1 << 60, Worker: "i-0123456789abcdef", Checkpoint: "00000bb87a21d94b", Failed: failures(20)}, false, 20},
		"long checkpoints":  {works.TaskProgress{Run: 1 << 60, Checkpoint: strings.Repeat("x", 4000), Failed: failures(3)}, true, 3},
		"failed very often": {works.TaskProgress{Run: 1 << 60, Failed: failures(100)}, true, 100},
		"failed for ever":   {works.TaskProgress{Run: 1 << 60, Failed: failures(5000)}, true, 8},
		"the longest names": {works.TaskProgress{Run: 1 << 60, Worker: strings.Repeat("w", 198), Failed: failures(5000)}, true, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := works.Progress{Started: true, Stamp: works.Stamp{Fence: 1 << 60, Seq: 1 << 60}}
			for i := range works.ChunkTasks {
				c.task.Occurrence, c.task.Step, c.task.Index = 1<<15, works.MaxSteps-1, works.MaxTasks-1-i
				p.Tasks = append(p.Tasks, c.task)
			}
			data, reduced, err := works.EncodeProgress(p, limit)
			assert.NilError(t, err)
			assert.Assert(t, len(data) <= limit, "%d bytes", len(data))
			assert.Equal(t, reduced, c.reduced)
			got, err := works.DecodeProgress(data)
			assert.NilError(t, err)
			assert.Equal(t, len(got.Tasks), works.ChunkTasks)
			last := got.Tasks[works.ChunkTasks-1]
			assert.Equal(t, len(last.Failed), c.failed)
			if c.failed > 0 {
				assert.Equal(t, last.Failed[c.failed-1], c.task.Failed[len(c.task.Failed)-1], "the last failure is known")
			}
			assert.Equal(t, last.Worker, c.task.Worker)
			if !reduced {
				full, _, err := works.EncodeProgress(p, 1<<30)
				assert.NilError(t, err)
				assert.Assert(t, len(full) <= p.MaxSize(), "%d bytes, at most %d were expected", len(full), p.MaxSize())
			}
		})
	}
}
