package record

import (
	"encoding/json"

	rock "bramleyrock"
)

// maxBodyBytes is the maximum size of a body.
const maxBodyBytes = 256 << 10

// Codec decodes and converts records in the schema versions that it supports. The
// zero value supports all.
type Codec struct {
	limit int // the latest supported schema version, or 0 for no limit
}

// NewCodec returns a codec that supports only the schema versions up to limit, as
// an older program does.
func NewCodec(limit int) Codec { return Codec{limit: limit} }

// Latest returns the latest schema version of the kind that the codec supports.
func (c Codec) Latest(kind rock.Kind) int {
	latest := 1
	if kind == rock.KindPool || kind == rock.KindBudget {
		latest = 2
	}
	if c.limit > 0 {
		latest = min(latest, c.limit)
	}
	return latest
}

// Decode returns the typed body of r. It returns a [rock.BadInput] failure that
// names each invalid field, its value and the values that are allowed, and a
// [rock.SchemaUnsupported] failure if the codec does not support the schema
// version.
func (c Codec) Decode(r rock.Record) (Body, error) {
	if err := c.checkEnvelope(r); err != nil {
		return nil, err
	}
	f, err := readFields("", r.Body())
	if err != nil {
		return nil, badInput(r, err)
	}
	b := decodeBody(r.Key().Kind(), r.Schema(), f)
	if err := f.err(); err != nil {
		return nil, badInput(r, err)
	}
	return b, nil
}

// checkEnvelope checks the key, the schema version and the size of the body.
func (c Codec) checkEnvelope(r rock.Record) error {
	if err := r.Key().Check(); err != nil {
		return badInput(r, err)
	}
	latest := c.Latest(r.Key().Kind())
	if r.Schema() < 1 {
		return rock.Fail("decode", r.Key().String(), rock.BadInput, rock.NotRun).
			Becausef("field schema_version: got %d: want a whole number from 1 to %d", r.Schema(), latest)
	}
	if r.Schema() > latest {
		return rock.Fail("decode", r.Key().String(), rock.SchemaUnsupported, rock.NotRun).
			Becausef("field schema_version: got %d: this program knows 1 to %d", r.Schema(), latest)
	}
	if len(r.Body()) > maxBodyBytes {
		return rock.Fail("decode", r.Key().String(), rock.TooLarge, rock.NotRun).
			Becausef("body has %d bytes: want at most %d", len(r.Body()), maxBodyBytes)
	}
	return nil
}

// badInput returns the failure of decoding an invalid record.
func badInput(r rock.Record, cause error) error {
	return rock.Fail("decode", r.Key().String(), rock.BadInput, rock.NotRun).Because(cause)
}

// decodeBody decodes the body of a record of that kind; f collects the invalid
// fields.
func decodeBody(kind rock.Kind, schema int, f *fields) Body {
	switch kind {
	case rock.KindOrganisation:
		return decodeOrganisation(f)
	case rock.KindPool:
		return decodePool(schema, f)
	case rock.KindHost:
		return decodeHost(f)
	case rock.KindBudget:
		return decodeBudget(schema, f)
	case rock.KindMove:
		return decodeMove(f)
	default:
		return decodeWave(f)
	}
}

// Convert returns r in another schema version. It returns a
// [rock.SchemaUnsupported] failure if that version cannot represent all content.
func (c Codec) Convert(r rock.Record, schema int) (rock.Record, error) {
	if latest := c.Latest(r.Key().Kind()); schema < 1 || schema > latest {
		return rock.Record{}, rock.Fail("convert", r.Key().String(), rock.SchemaUnsupported, rock.NotRun).
			Becausef("schema_version %d is not known: want 1 to %d", schema, latest)
	}
	if r.Schema() == schema {
		return r, nil
	}
	b, err := c.Decode(r)
	if err != nil {
		return rock.Record{}, err
	}
	data, err := encode(b, r.Key().String(), schema)
	if err != nil {
		return rock.Record{}, err
	}
	return rock.NewRecord(r.Key(), schema, r.Version(), data), nil
}

// Canonical returns r in the lowest schema version that can represent its content
// without loss. Records are stored in this form, so that older programs can decode
// as many as possible.
func (c Codec) Canonical(r rock.Record) (rock.Record, error) {
	for schema := 1; schema < r.Schema(); schema++ {
		converted, err := c.Convert(r, schema)
		if err == nil {
			return converted, nil
		}
		if rock.ReasonOf(err) != rock.SchemaUnsupported {
			return rock.Record{}, err
		}
	}
	return r, nil
}

// CheckReplace returns a [rock.SchemaUnsupported] failure if the replacement of
// current by proposed, or its deletion if proposed is nil, would drop content that
// the author cannot know: a record is stored in the lowest schema version that can
// represent it, so a proposal in a lower version lacks some of its content.
func (c Codec) CheckReplace(current rock.Record, proposed *rock.Record) error {
	fail := rock.Fail("replace", current.Key().String(), rock.SchemaUnsupported, rock.NotRun)
	if latest := c.Latest(current.Key().Kind()); current.Schema() > latest {
		return fail.Becausef("the record has schema_version %d: this program supports 1 to %d", current.Schema(), latest)
	}
	if proposed != nil && proposed.Schema() < current.Schema() {
		return fail.Becausef("the record has content that only schema_version %d can represent: the proposal has schema_version %d",
			current.Schema(), proposed.Schema())
	}
	return nil
}

// Encode returns the record with that key, version and content, in the lowest
// schema version that can represent the content.
func Encode(key rock.Key, version uint64, b Body) (rock.Record, error) {
	var lastErr error
	for schema := 1; schema <= (Codec{}).Latest(b.Kind()); schema++ {
		data, err := encode(b, key.String(), schema)
		if err == nil {
			return rock.NewRecord(key, schema, version, data), nil
		}
		lastErr = err
	}
	return rock.Record{}, lastErr
}

// encode encodes a body. It returns a [rock.SchemaUnsupported] failure if the
// schema version cannot represent the content.
func encode(b Body, subject string, schema int) (json.RawMessage, error) {
	data, err := b.Encode(schema)
	if err == nil {
		return data, nil
	}
	return nil, rock.Fail("encode", subject, rock.SchemaUnsupported, rock.NotRun).
		Becausef("schema_version %d: %w", schema, err)
}
