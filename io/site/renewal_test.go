package site

import (
	"fmt"
	"testing"

	"bramleyrock/core/tenure"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestRenewalFitsItsRow guards against an owner that can no longer renew its ownership because
// more queues have waiting jobs than a row can name.
func TestRenewalFitsItsRow(t *testing.T) {
	t.Parallel()
	for queues, omitted := range map[int]bool{0: false, 570: false, 5000: true} {
		r := renewal{HasLoad: true, WaitingJobs: map[string]int{}, Cores: 7, Record: tenure.Record{Fence: 9, Homes: []int{0, 1, 2}}}
		for i := range queues {
			r.WaitingJobs[fmt.Sprintf("a queue with a name of some length %d", i)] = i
		}
		data, err := encodeRenewal(r, DefaultMaxRowBytes)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= DefaultMaxRowBytes)
		var got renewal
		assert.NilError(t, cbor.Unmarshal(data, &got))
		assert.Equal(t, got.WaitingOmitted, omitted)
		assert.Equal(t, len(got.WaitingJobs) == queues, !omitted)
		assert.DeepEqual(t, got.Record, r.Record)
	}
}
