package group_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"bramleyrock/core/group"

	"gotest.tools/v3/assert"
)

func TestFirstErrorEndsAll(t *testing.T) {
	g := group.New(context.Background())
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Go("fails", func(context.Context) error { return errors.New("broken") })
	assert.Error(t, g.Wait(), "fails: broken")
}

func TestStopIsNoError(t *testing.T) {
	g := group.New(context.Background())
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Stop()
	assert.NilError(t, g.Wait())
}

func ExampleGroup() {
	g := group.New(context.Background())
	g.Go("greet", func(context.Context) error {
		fmt.Println("hello")
		return nil
	})
	fmt.Println(g.Wait())
	// Output:
	// hello
	// <nil>
}
