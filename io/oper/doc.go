// Package oper implements the operators' HTTP API, which an entry serves on its
// operator door: records, changes of records, and the audit trail, as JSON.
//
//	GET  /v1/records/{kind}          all records of a kind
//	GET  /v1/records/{kind}/{name}   one record
//	POST /v1/changes                 make a change, or only check it with "dry_run"
//	GET  /v1/changes                 audit trail; by default the newest changes
//	GET  /v1/changes/{id}            the accepted change with that id, if any
//
// Reads of records accept the query parameter schema_version and are refused if a
// record cannot be expressed in that version. Every request carries a bearer
// token. Operators may read and change records, readers may only read them. A
// token of an organisation gives access only to the record of that organisation
// and the records of its pools, of which its operators may change only budgets,
// waves and moves.
//
// Errors are returned as problem bodies; see package probl.
//
// # Usage
//
//	handler := oper.New(oper.Settings{Books: b, Now: time.Now})
//	door := door.New(door.Settings{Name: "operator", Handler: handler, Address: address})
package oper
