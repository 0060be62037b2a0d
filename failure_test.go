package rock_test

import (
	"errors"
	"fmt"
	"testing"

	rock "bramleyrock"

	"gotest.tools/v3/assert"
)

func TestVerdictOf(t *testing.T) {
	cases := map[string]struct {
		err  error
		want rock.Verdict
	}{
		"success":            {nil, rock.Ran},
		"unclassified error": {errors.New("broken pipe"), rock.MayHaveRun},
		"failure":            {rock.Fail("admit", "pool tins", rock.Overloaded, rock.NotRun), rock.NotRun},
		"wrapped failure":    {fmt.Errorf("call: %w", rock.Fail("admit", "", rock.Overloaded, rock.NotRun)), rock.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rock.VerdictOf(c.err), c.want) })
	}
}

func TestRetryable(t *testing.T) {
	cases := map[string]struct {
		verdict    rock.Verdict
		idempotent bool
		want       bool
	}{
		"not run":                      {rock.NotRun, false, true},
		"may have run, not idempotent": {rock.MayHaveRun, false, false},
		"may have run, idempotent":     {rock.MayHaveRun, true, true},
		"ran":                          {rock.Ran, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.verdict.Retryable(c.idempotent), c.want) })
	}
}

func TestCheckName(t *testing.T) {
	cases := map[string]bool{
		"tins": true, "zone-a.rack_1": true, "": false, "a/b": false, "a\x00b": false, "A": false, "-a": false, "..": false,
	}
	for name, ok := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, rock.CheckName(name) == nil, ok) })
	}
}

func ExampleFail() {
	err := rock.Fail("admit", "pool tins", rock.Overloaded, rock.NotRun).Becausef("queue holds %d requests", 512)
	fmt.Println(err)
	fmt.Println(rock.VerdictOf(err), rock.ReasonOf(err))
	// Output:
	// admit pool tins: overloaded: queue holds 512 requests
	// not_run overloaded
}
