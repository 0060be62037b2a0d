package record

import (
	rock "bramleyrock"
)

// Decode returns the typed body of r; see [Codec.Decode].
func Decode(r rock.Record) (Body, error) { return Codec{}.Decode(r) }

// As returns the typed body of r. It returns a [rock.BadInput] failure if r is not
// of the kind of B.
func As[B Body](r rock.Record) (B, error) { return DecodeAs[B](Codec{}, r) }

// DecodeAs is like [As], but supports only the schema versions of the codec.
func DecodeAs[B Body](c Codec, r rock.Record) (B, error) {
	var zero B
	b, err := c.Decode(r)
	if err != nil {
		return zero, err
	}
	typed, ok := b.(B)
	if !ok {
		return zero, rock.Fail("decode", r.Key().String(), rock.BadInput, rock.NotRun).
			Becausef("the record is of kind %s: want %s", r.Key().Kind(), zero.Kind())
	}
	return typed, nil
}
