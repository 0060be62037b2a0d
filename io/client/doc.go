// Package client is a client of the caller door and the operator door of an entry.
// The command line, trials and tests use it.
//
// Every error is a [rock.Failure]: the failure that the entry returned, BadInput
// with verdict not_run if the request cannot be built, Unavailable with verdict
// not_run if no connection could be established, OutcomeUnknown with verdict
// may_have_run if no response arrived, or Truncated with verdict may_have_run if
// the response is incomplete or cannot be decoded.
//
// # Usage
//
//	c := client.New(client.Settings{BaseURL: "http://127.0.0.1:7010", Token: token})
//	answer, err := c.Call(ctx, "tins", client.Request{Payload: payload, TimeoutMS: 5000})
//	if rock.VerdictOf(err) == rock.NotRun {
//		// The request can be sent again safely.
//	}
package client
