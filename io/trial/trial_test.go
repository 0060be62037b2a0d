package trial_test

import (
	"os"
	"testing"
	"time"

	"bramleyrock/core/trace"
	"bramleyrock/io/logs"
	"bramleyrock/io/trial"

	"gotest.tools/v3/assert"
)

// TestOutcomesHold runs a short trial of each deployment.
func TestOutcomesHold(t *testing.T) {
	for _, d := range []trial.Deployment{trial.Zarqa, trial.Blespind} {
		t.Run(string(d), func(t *testing.T) {
			r, err := trial.Run(t.Context(), trial.Settings{Deployment: d, Length: 5 * time.Second, Seed: 1, LoadShare: 0.1, Log: logs.Discard()})
			assert.NilError(t, err)
			keepTrace(t, r)
			assert.DeepEqual(t, r.Broken, []string{})
			for _, p := range r.Pools {
				assert.Assert(t, p.Served > 0, "pool %s was not served", p.Pool)
			}
		})
	}
}

// keepTrace writes the trace of a trial that broke an outcome to a file and
// logs its path.
func keepTrace(t *testing.T, r trial.Report) {
	t.Helper()
	if len(r.Broken) == 0 {
		return
	}
	f, err := os.CreateTemp("", "trial-*.jsonl")
	assert.NilError(t, err)
	assert.NilError(t, r.Trace().WriteTrace(f, trace.Header{Name: string(r.Deployment), Seed: r.Seed, Outcomes: r.Outcomes}))
	assert.NilError(t, f.Close())
	t.Logf("seed %d, trace %s", r.Seed, f.Name())
}

func TestUnknownDeployment(t *testing.T) {
	_, err := trial.Run(t.Context(), trial.Settings{Deployment: "shelf", Log: logs.Discard()})
	assert.ErrorContains(t, err, `deployment "shelf" is not known`)
}
