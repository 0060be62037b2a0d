package claim_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func answered(payload string) claim.Outcome {
	return claim.NewOutcome(rock.NewAnswer("r1", "h1", json.RawMessage(payload)), nil)
}

func TestClaimStates(t *testing.T) {
	r := claim.NewRegistry(claim.Limits{})
	expires := start.Add(time.Minute)
	for _, want := range []claim.State{claim.Fresh, claim.Running, claim.Running} {
		c, err := r.Claim(start, "k", expires)
		assert.NilError(t, err)
		assert.Equal(t, c.State(), want)
	}
	r.RecordOutcome(start, "k", answered(`"whole"`))
	c, err := r.Claim(start, "k", expires)
	assert.NilError(t, err)
	answer, err := c.Outcome().Result()
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Payload()), `"whole"`)
}

func TestOutcomeDecidesWhetherKeyIsFree(t *testing.T) {
	cases := map[string]struct {
		err  error
		want claim.State
	}{
		"not run":      {rock.Fail("run", "", rock.Overloaded, rock.NotRun), claim.Fresh},
		"may have run": {rock.Fail("run", "", rock.Unavailable, rock.MayHaveRun), claim.Settled},
		"unclassified": {errors.New("broken pipe"), claim.Settled},
		"answered":     {nil, claim.Settled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := claim.NewRegistry(claim.Limits{})
			_, err := r.Claim(start, "k", start.Add(time.Minute))
			assert.NilError(t, err)
			r.RecordOutcome(start, "k", claim.NewOutcome(rock.Answer{}, c.err))
			again, err := r.Claim(start, "k", start.Add(time.Minute))
			assert.NilError(t, err)
			assert.Equal(t, again.State(), c.want)
		})
	}
}

func TestExpiredKeyIsNeverFresh(t *testing.T) {
	r := claim.NewRegistry(claim.Limits{})
	expires := start.Add(time.Minute)
	_, err := r.Claim(start, "k", expires)
	assert.NilError(t, err)
	for _, now := range []time.Time{expires, expires.Add(time.Hour), start} {
		_, err = r.Claim(now, "k", expires)
		assert.Equal(t, rock.ReasonOf(err), rock.Expired)
		assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	}
	assert.Equal(t, r.Len(), 0)
}

func TestFullRegistryRefusesNewKeysOnly(t *testing.T) {
	r := claim.NewRegistry(claim.Limits{MaxKeys: 2})
	for _, key := range []string{"k1", "k2", "k1"} {
		_, err := r.Claim(start, key, start.Add(time.Minute))
		assert.NilError(t, err)
	}
	_, err := r.Claim(start, "k3", start.Add(time.Minute))
	assert.Equal(t, rock.ReasonOf(err), rock.Overloaded)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestForgottenAnswerKeepsKey(t *testing.T) {
	r := claim.NewRegistry(claim.Limits{MaxAnswerBytes: 10})
	for _, key := range []string{"k1", "k2"} {
		_, err := r.Claim(start, key, start.Add(time.Minute))
		assert.NilError(t, err)
		r.RecordOutcome(start, key, answered(`"123456"`))
	}
	for key, want := range map[string]rock.Verdict{"k1": rock.MayHaveRun, "k2": rock.Ran} {
		c, err := r.Claim(start, key, start.Add(time.Minute))
		assert.NilError(t, err)
		_, err = c.Outcome().Result()
		assert.Equal(t, rock.VerdictOf(err), want)
	}
}

func TestClosing(t *testing.T) {
	keyring := claim.NewKeyring([]byte("shared"))
	spec := claim.KeySpec{Issuer: "e1", Incarnation: "i1", Expires: start.Add(time.Minute), Nonce: "1"}
	claimed := keyring.Issue(spec, "alpha")
	spec.Nonce = "2"
	unsent := keyring.Issue(spec, "alpha")
	spec.Incarnation = "i2"
	other := keyring.Issue(spec, "alpha")
	r := claim.NewRegistry(claim.Limits{})
	_, err := r.Claim(start, claimed, spec.Expires)
	assert.NilError(t, err)
	r.Close()
	_, err = r.Claim(start, unsent, spec.Expires)
	assert.Equal(t, rock.ReasonOf(err), rock.Leaving)
	c := r.ClosingRecord(start, "i1")
	for text, want := range map[string]bool{claimed: false, unsent: true, other: false} {
		key, err := keyring.Verify(text, "alpha")
		assert.NilError(t, err)
		assert.Equal(t, c.ProvesNotRun(key, text), want)
	}
	key, err := keyring.Verify(unsent, "alpha")
	assert.NilError(t, err)
	assert.Assert(t, !r.ClosingRecord(key.Expires(), "i1").ProvesNotRun(key, unsent), "a key that had expired at the closing may have been claimed before")
}

func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{50, 500, 5500} {
		b.Run(fmt.Sprintf("remembered=%d", n), func(b *testing.B) {
			keyring, registry := claim.NewKeyring([]byte("shared")), claim.NewRegistry(claim.Limits{})
			expires := start.Add(time.Minute)
			for i := range n {
				if _, err := registry.Claim(start, fmt.Sprint(i), expires); err != nil {
					b.Fatal(err)
				}
			}
			text := keyring.Issue(claim.KeySpec{Issuer: "e1", Incarnation: "i1", Expires: expires, Nonce: "1"}, "alpha")
			refused := claim.NewOutcome(rock.Answer{}, rock.Fail("run", "", rock.Overloaded, rock.NotRun))
			b.ReportAllocs()
			for b.Loop() {
				key, err := keyring.Verify(text, "alpha")
				if err != nil {
					b.Fatal(err)
				}
				if _, err := registry.Claim(start, text, key.Expires()); err != nil {
					b.Fatal(err)
				}
				registry.RecordOutcome(start, text, refused)
			}
		})
	}
}
