// Package probl carries failures over HTTP as JSON problem bodies.
//
// Every refusal or failure of an entry is answered with a status from 400 on,
// the header Bramleyrock-Verdict and a body such as
//
//	{
//	  "op": "admit", "subject": "pool tins", "reason": "overloaded",
//	  "verdict": "not_run", "detail": "queue holds 512 requests",
//	  "retry_after_ms": 250
//	}
//
// A version conflict adds the records "current" and "proposed". A wait is also
// given in the header Retry-After, in whole seconds.
//
// # Usage
//
// A server writes the error that it got:
//
//	if err != nil {
//		probl.Write(w, err)
//		return
//	}
//
// A client turns the response back into a [rock.Failure]; a response with a
// status below 300 gives nil:
//
//	if err := probl.Read(response); err != nil {
//		return err // rock.VerdictOf tells whether the request may have run
//	}
//
// A response that is no problem body, such as one of a balancer on the way, is
// an Unavailable failure with verdict may_have_run, unless its verdict header
// says more.
package probl
