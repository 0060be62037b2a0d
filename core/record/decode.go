package record

import (
	rock "bramleyrock"
)

// Decode returns the typed body of r; see [Codec.Decode].
func Decode(r rock.Record) (Body, error) { return Codec{}.Decode(r) }

// As returns the typed body of r, which must be of the kind of B.
func As[B Body](r rock.Record) (B, error) { return DecodeAs[B](Codec{}, r) }

// DecodeAs is [As] with what the codec knows.
func DecodeAs[B Body](c Codec, r rock.Record) (B, error) {
	var none B
	b, err := c.Decode(r)
	if err != nil {
		return none, err
	}
	typed, ok := b.(B)
	if !ok {
		return none, rock.Fail("decode", r.Key().String(), rock.BadInput, rock.NotRun).
			Becausef("the record is of kind %s: want %s", r.Key().Kind(), none.Kind())
	}
	return typed, nil
}
