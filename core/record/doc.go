// Package record defines the typed body of each kind of record, its schema
// versions, the conversion between them, and its validation.
//
// # Schema versions
//
// Pools and budgets have schema versions 1 and 2; all other kinds have only
// version 1. A record is stored in the lowest version that can represent its
// content without loss ([Codec.Canonical]). A program that supports only version
// 1 can therefore decode all content that version 1 can represent, even if it was
// written in version 2, and a record that is stored in version 2 always has
// content that version 1 cannot represent. Hence such a record is neither returned
// in version 1 ([Codec.Convert]) nor replaced by a version 1 record
// ([Codec.CheckReplace]); both return [rock.SchemaUnsupported] failures.
//
// Unknown fields are kept in [Extra] and written back, at every level of a body.
//
// # Usage
//
// Decode a record, change a field and encode it again:
//
//	h, err := record.As[record.Host](r)
//	if err != nil {
//		return err
//	}
//	h = h.With(func(s *record.HostSpec) { s.Open = false })
//	r, err = record.Encode(r.Key(), r.Version(), h)
//
// The error for an invalid body names each invalid field, its value and the values
// that are allowed.
package record
