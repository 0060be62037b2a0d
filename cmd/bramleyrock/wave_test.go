package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/io/client"
	"bramleyrock/io/plat"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestWaveRestartsEveryHostOnce runs a wave over the three hosts of a pool,
// whose budget spares one, while the pool is served: every host is restarted
// once, and no request is cut.
func TestWaveRestartsEveryHostOnce(t *testing.T) {
	d := deploy(t)
	for _, args := range [][]string{
		{"wave", "plan", "w1", "tins", "--max-parallel", "3", "--why", "test"},
		{"wave", "start", "w1", "--why", "test"},
		{"wave", "pause", "w1", "--why", "test"},
		{"wave", "resume", "w1", "--why", "test"},
	} {
		_, errs, status := d.cli(args...)
		assert.Equal(t, status, exitOK, errs)
	}
	g := group.New(context.Background())
	g.Go("caller", func(ctx context.Context) error {
		c := d.callerOf("a1", callerToken)
		for ctx.Err() == nil {
			r := client.Request{Payload: []byte(`{"work_ms":200}`), TimeoutMS: 10_000}
			if _, err := c.Call(context.WithoutCancel(ctx), "tins", r); err != nil {
				return err
			}
		}
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		out, errs, _ := d.cli("get", "wave/w1", "--output", "json")
		if !strings.Contains(out, `"done"`) {
			return poll.Continue("%s%s", out, errs)
		}
		return poll.Success()
	}, poll.WithTimeout(90*time.Second))
	g.Stop()
	assert.NilError(t, g.Wait())
	out, errs, status := d.cli("wave", "status", "w1", "--output", "json")
	assert.Equal(t, status, exitOK, errs)
	assert.Equal(t, strings.Join(strings.Fields(out), ""), `[{"wave":"w1","state":"done","hosts":3,"done":3,"away":0}]`)
	_, errs, status = d.cli("wave", "resume", "w1")
	assert.Equal(t, status, exitFailed, "a wave that is done was resumed")
	assert.Assert(t, strings.Contains(errs, "conflict"), errs)
	p, err := plat.New(plat.Settings{BaseURL: "http://" + d.platform})
	assert.NilError(t, err)
	hosts, err := p.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 3)
	for _, h := range hosts {
		assert.Equal(t, h.Boots(), uint64(2), h.Name())
	}
}
