// Package retry decides whether a request that failed is retried.
//
// A request is retried only if that is safe, within its deadline, and within a
// budget: the retries of a pool are limited to a share of its recent successes,
// so that they do not overload a failing pool. A new budget is empty, so that
// entries which restart together cause no surge of retries.
//
// # Usage
//
//	h := retry.NewHistory(request)
//	h.RecordHost(host.Name())
//	answer, err := target.Run(ctx, host, task)
//	if err == nil {
//		return answer, nil
//	}
//	h.RecordFailure(err)
//	if h.Retryable(err) && budget.TryWithdraw(now) {
//		// Retry on a host that is not in h.TriedHosts().
//	}
//	return rock.Answer{}, h.FinalError(err)
//
// [AdaptiveTimeout] is the timeout of single calls to a service.
package retry
