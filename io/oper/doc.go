// Package oper answers the operator door: records, changes and the audit trail
// as JSON over HTTP.
//
//	GET  /v1/records/{kind}          all records of a kind
//	GET  /v1/records/{kind}/{name}   one record
//	POST /v1/changes                 make a change, or try it with "dry_run"
//	GET  /v1/changes                 history and audit, newest by default
//	GET  /v1/changes/{id}            settle a change by its id
//
// Reads take the query schema_version and are refused if a record cannot be
// expressed in it. Every call carries a bearer token: operators change,
// operators and readers read. The holder of an organisation's token sees the
// records of its organisation's pools only, and its operators change budgets,
// waves and moves of those pools only.
//
// Errors are problem bodies; see package probl.
//
// # Usage
//
//	handler := oper.New(oper.Settings{Books: b, Now: time.Now})
//	door := door.New(door.Settings{Name: "operator", Handler: handler, Address: address})
package oper
