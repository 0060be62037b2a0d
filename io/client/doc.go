// Package client calls the caller and operator doors of an entry, for the
// command line, trials and tests.
//
// Every error is a [rock.Failure]: the entry's own refusal, Unavailable with
// verdict not_run if no connection came about, and Unsettled with verdict
// may_have_run if the answer was lost.
//
// # Usage
//
//	c := client.New(client.Settings{Base: "http://127.0.0.1:7010", Token: token})
//	answer, err := c.Call(ctx, "tins", client.Request{Payload: payload, TimeoutMS: 5000})
//	if rock.VerdictOf(err) == rock.NotRun {
//		// It may be sent again.
//	}
package client
