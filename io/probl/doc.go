// Package probl encodes failures as HTTP responses with JSON problem bodies, and
// decodes them.
//
// An entry answers every request that it refuses or that fails with a status of 400
// or above, the header Bramleyrock-Verdict and a body such as
//
//	{
//	  "op": "admit", "subject": "pool tins", "reason": "overloaded",
//	  "verdict": "not_run", "detail": "queue holds 512 requests",
//	  "retry_after_ms": 250
//	}
//
// A version conflict adds the records "current" and "proposed". The wait before a
// retry is also given in the header Retry-After, rounded up to whole seconds.
//
// # Usage
//
// A server writes an error as the response:
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
//		return err // rock.VerdictOf(err) says whether the request may have run
//	}
//
// A response without a valid problem body, such as that of a load balancer between
// client and entry, becomes an Unavailable failure. Its verdict is that of the
// verdict header, or may_have_run if the header has no valid value.
package probl
