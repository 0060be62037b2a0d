// Package record gives records their meaning: the typed body of each kind, its
// schema versions, conversion between them, and checks.
//
// # Schema versions
//
// Pools and budgets have the schema versions 1 and 2, all other kinds have
// version 1. A record is kept in the lowest version that expresses its content
// without loss ([Codec.Canonical]). A program that knows only version 1 can so
// read everything that version 1 can say, also if it was written in version 2,
// and a record that is kept in version 2 always says something that version 1
// cannot. From this follow two rules. A reader that asks for version 1 of such
// a record is refused, and so is a writer that would replace it by a version 1
// record ([Codec.CheckReplace]). Both are [rock.SchemaUnsupported] failures.
//
// Fields that a program does not know are kept in [Extra] and written back, at
// every level of a body.
//
// # Usage
//
// Read a record, change a part and encode it again:
//
//	h, err := record.As[record.HostHealth](r)
//	if err != nil {
//		return err
//	}
//	h = h.With(func(s *record.HostSpec) { s.Open = false })
//	r, err = record.Encode(r.Key(), r.Version(), h)
//
// A malformed body gives one error that names each wrong field, its value and
// what is allowed.
package record
