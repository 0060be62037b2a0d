package record_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/record"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// v1Codec is the codec of a program that supports only version 1.
var v1Codec = record.NewCodec(1)

// drawJSONValue draws JSON values that a newer program might write, including
// numbers that a float64 cannot represent.
func drawJSONValue() *rapid.Generator[any] {
	return rapid.OneOf(
		rapid.Just[any](nil),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Map(rapid.SampledFrom([]json.Number{"0", "1e400", "0.10000000000000000001", "9007199254740993"}), func(n json.Number) any { return n }),
		rapid.Map(rapid.String(), func(s string) any { return s }),
		rapid.Map(rapid.SliceOfN(rapid.Int(), 0, 3), func(s []int) any { return s }),
	)
}

// drawUnknownFields draws fields that no version defines, and those in names, which
// only the other version defines.
func drawUnknownFields(t *rapid.T, names ...string) map[string]any {
	if rapid.IntRange(0, 2).Draw(t, "has unknown") > 0 {
		return map[string]any{}
	}
	names = append(names, "zone_spread", "note", "Pool", "")
	return rapid.MapOfN(rapid.SampledFrom(names), drawJSONValue(), 1, 3).Draw(t, "unknown")
}

// drawRecord draws a pool or budget in either schema version.
func drawRecord(t *rapid.T) rock.Record {
	kind := rapid.SampledFrom([]rock.Kind{rock.KindPool, rock.KindBudget}).Draw(t, "kind")
	schema := rapid.IntRange(1, 2).Draw(t, "schema")
	body := drawPool(t, schema)
	if kind == rock.KindBudget {
		body = drawBudget(t, schema)
	}
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	return rock.NewRecord(rock.NewKey(kind, "x1"), schema, 3, data)
}

func drawPool(t *rapid.T, schema int) map[string]any {
	org := rapid.SampledFrom([]string{"", "alpha"}).Draw(t, "organisation")
	spare := rapid.Bool().Draw(t, "spare")
	if schema == 1 {
		body := drawUnknownFields(t, "owner", "max_slots")
		body["spare"] = spare || org == ""
		if org != "" {
			body["organisation"] = org
		}
		return body
	}
	owner := drawUnknownFields(t)
	if org == "" {
		owner["shared"] = true
	} else {
		owner["organisation"] = org
	}
	body := drawUnknownFields(t, "organisation")
	body["owner"], body["spare"] = owner, spare
	if n := rapid.IntRange(0, 9).Draw(t, "max_slots"); n > 0 {
		body["max_slots"] = n
	}
	return body
}

func drawBudget(t *rapid.T, schema int) map[string]any {
	count := rapid.IntRange(0, 100).Draw(t, "count")
	if schema == 1 {
		body := drawUnknownFields(t, "max_away_per_rack")
		body["pool"], body["min_available"] = "tins", count
		return body
	}
	limit := drawUnknownFields(t)
	if rapid.Bool().Draw(t, "is share") {
		limit["share"] = rapid.SampledFrom([]json.Number{"0", "1", "0.8", "0.80000000000000000001", "1e-7"}).Draw(t, "share")
	} else {
		limit["count"] = count
	}
	body := drawUnknownFields(t)
	body["pool"], body["min_available"] = "tins", limit
	if n := rapid.IntRange(0, 2).Draw(t, "max_away_per_rack"); n > 0 {
		body["max_away_per_rack"] = n
	}
	return body
}

// TestConversionIsLossless guards against a conversion that drops or changes content:
// a record that is converted to the other version and back must be unchanged, or
// the conversion must be refused.
func TestConversionIsLossless(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		other := 3 - r.Schema()
		converted, err := record.Codec{}.Convert(r, other)
		if err != nil {
			assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)
			counts[fmt.Sprintf("refused %d to %d", r.Schema(), other)]++
			return
		}
		counts[fmt.Sprintf("converted %d to %d", r.Schema(), other)]++
		back, err := record.Codec{}.Convert(converted, r.Schema())
		assert.NilError(t, err)
		assert.DeepEqual(t, parseJSON(t, back.Body()), parseJSON(t, r.Body()))
		assert.Equal(t, back.Version(), r.Version())
	})
	t.Log(counts)
	for _, outcome := range []string{"refused 1 to 2", "converted 1 to 2", "refused 2 to 1", "converted 2 to 1"} {
		assert.Assert(t, counts[outcome] > 0, "no conversion was %s", outcome)
	}
}

// TestStoredVersionRules guards against programs of different versions that drop
// content of each other. Records are stored in the lowest version that can represent
// them, so an old program must be able to write back every record stored in version
// 1, and be refused every other one.
func TestStoredVersionRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, err := record.Codec{}.Canonical(drawRecord(t))
		assert.NilError(t, err)
		b, err := v1Codec.Decode(stored)
		if stored.Schema() == 1 {
			// An old program decodes the record and writes it back unchanged.
			assert.NilError(t, err)
			body, err := b.Encode(1)
			assert.NilError(t, err)
			assert.DeepEqual(t, parseJSON(t, body), parseJSON(t, stored.Body()))
			assert.NilError(t, v1Codec.CheckReplace(stored, &stored))
			return
		}
		// An old program can neither read nor replace nor delete the record.
		assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)
		_, err = record.Codec{}.Convert(stored, 1)
		assert.Equal(t, rock.ReasonOf(err), rock.SchemaUnsupported)
		version1 := rock.NewRecord(stored.Key(), 1, stored.Version(), nil)
		assert.Equal(t, rock.ReasonOf(record.Codec{}.CheckReplace(stored, &version1)), rock.SchemaUnsupported)
		assert.Equal(t, rock.ReasonOf(v1Codec.CheckReplace(stored, &version1)), rock.SchemaUnsupported)
		assert.Equal(t, rock.ReasonOf(v1Codec.CheckReplace(stored, nil)), rock.SchemaUnsupported)
	})
}
