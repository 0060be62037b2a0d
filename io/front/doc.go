// Package front implements the HTTP API for callers. It accepts requests as JSON
// and responds with the complete answer of a target or with a problem body.
// Every response has the header Bramleyrock-Verdict.
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
// A request that is not idempotent may have an idempotency key, so that the
// caller can safely send it again if the answer is lost. Keys are fetched in
// advance:
//
//	POST /v1/keys
//	{"count": 100}
//
//	200 OK
//	{"keys": ["key1~..."], "expires_at": "2026-01-01T00:10:00Z"}
//
// A caller can use only the pools that serve its organisation. The response for
// any other pool does not show whether the pool exists.
//
// # Usage
//
//	handler := front.New(front.Settings{Runner: engine, Keys: engine, Fleet: follower, Log: log})
//	d := door.New(door.Settings{Name: "caller", Address: address, Handler: handler, Log: log})
package front
