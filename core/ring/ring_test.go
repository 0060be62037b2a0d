package ring_test

import (
	"context"
	"testing"

	"bramleyrock/core/ring"

	"gotest.tools/v3/assert"
)

func TestFullRingDrops(t *testing.T) {
	r := ring.New[int](2)
	assert.Assert(t, r.Put(1))
	assert.Assert(t, r.Put(2))
	assert.Assert(t, !r.Put(3))
	assert.Equal(t, r.Dropped(), uint64(1))
	first, err := r.Take(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, first, 1)
	second, ok := r.Poll()
	assert.Assert(t, ok)
	assert.Equal(t, second, 2)
	_, ok = r.Poll()
	assert.Assert(t, !ok)
}

func TestTakeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := ring.New[int](1).Take(ctx)
	assert.ErrorIs(t, err, context.Canceled)
}
