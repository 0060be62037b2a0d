// Package front is the caller door: it takes requests over HTTP as JSON and
// answers each with the whole answer of a target or with a problem body. Every
// answer has the header Bramleyrock-Verdict.
//
//	POST /v1/pools/{pool}/requests
//	Authorization: Bearer TOKEN
//	{"payload": {"line": 4}, "timeout_ms": 5000, "class": "urgent", "idempotent": true}
//
// is answered with
//
//	200 OK
//	{"request_id": "...", "verdict": "ran", "host": "h1", "payload": ...}
//
// A request that is not idempotent may carry an idempotency key, so that it
// can be sent again if its answer is lost. Keys are fetched beforehand:
//
//	POST /v1/keys
//	{"count": 100}
//
//	200 OK
//	{"keys": ["key1~..."], "expires_at": "2026-01-01T00:10:00Z"}
//
// A caller reaches only the pools that serve its organisation; of others it is
// not told whether they exist.
//
// # Usage
//
//	handler := front.New(front.Settings{Runner: engine, Keys: engine, Fleet: follower, Log: log})
//	d := door.New(door.Settings{Name: "caller", Address: address, Handler: handler, Log: log})
package front
