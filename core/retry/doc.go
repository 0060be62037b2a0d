// Package retry decides whether a request that failed is tried again.
//
// A request is tried again only where that is safe, within its deadline, and
// under a budget: the retries of a pool are a share of its recent successes,
// so that a pool which fails is not flooded. A new budget is empty, so entries
// that restart together add nothing.
//
// # Usage
//
//	h := retry.NewHistory(request)
//	h.Try(host.Name())
//	answer, err := target.Run(ctx, host, task)
//	if err == nil {
//		return answer, nil
//	}
//	h.Add(err)
//	if h.Safe(err) && budget.Take(now) {
//		// Try again, on another host than h.Tried().
//	}
//	return rock.Answer{}, h.Failure(err)
//
// [AdaptiveTimeout] bounds the wait for the answer of a single call.
package retry
