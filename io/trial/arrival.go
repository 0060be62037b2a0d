package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	rock "bramleyrock"
)

const (
	// meanWork is the mean time that a request works on a target.
	meanWork  = 80 * time.Millisecond
	leastWork = 10 * time.Millisecond
	mostWork  = 400 * time.Millisecond
	// defaultLoadShare is the mean load of a pool as a share of its slots.
	defaultLoadShare = 0.55
	// surgeFactor and lullFactor are the load of a surging pool, and of the
	// same pool after the surge, as multiples of its mean.
	surgeFactor = 5
	lullFactor  = 0.05
	// urgentShare and repeatableShare are shares of the requests.
	urgentShare     = 0.2
	idempotentShare = 0.7
	// keyedShare is the share of requests that are not idempotent, carry an
	// idempotency key and are sent twice, through different entries.
	keyedShare = 0.2
)

// arrival is one request of the load.
type arrival struct {
	id         string
	pool       string
	at         time.Duration
	work       time.Duration
	class      rock.Class
	idempotent bool
	keyed      bool
}

// send returns the id of the nth send of a keyed request.
func (a arrival) send(n int) string { return fmt.Sprintf("%s.%d", a.id, n) }

// arrivalOf returns the id of the arrival to which a send belongs.
func arrivalOf(send string) string {
	id, _, _ := strings.Cut(send, ".")
	return id
}

// arrivals returns the requests of one pool in order of time: so many slots are
// busy on average. Surge tells the load at a time as a multiple of the mean.
func arrivals(random *rand.Rand, pool string, busy float64, length time.Duration, surge func(at time.Duration) float64) []arrival {
	mean := time.Duration(float64(meanWork) / busy)
	var all []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(mean) / surge(at))
		if at >= length {
			return all
		}
		all = append(all, newArrival(random, pool, at, len(all)))
	}
}

// newArrival returns the nth request of the pool.
func newArrival(random *rand.Rand, pool string, at time.Duration, n int) arrival {
	a := arrival{
		id:         fmt.Sprintf("%s-%d", pool, n),
		pool:       pool,
		at:         at,
		work:       min(max(time.Duration(random.ExpFloat64()*float64(meanWork)), leastWork), mostWork),
		class:      rock.Normal,
		idempotent: random.Float64() < idempotentShare,
	}
	if random.Float64() < urgentShare {
		a.class = rock.Urgent
	}
	a.keyed = !a.idempotent && random.Float64() < keyedShare
	return a
}

// surgeOf returns the load of the surging pool as a multiple of its mean: a
// surge in the middle, then a lull.
func surgeOf(length time.Duration) func(at time.Duration) float64 {
	begin, end := surgeTimes(length)
	lull := end + (end - begin)
	return func(at time.Duration) float64 {
		switch {
		case at >= begin && at < end:
			return surgeFactor
		case at >= end && at < lull:
			return lullFactor
		}
		return 1
	}
}

// surgeTimes returns when the surge begins and ends.
func surgeTimes(length time.Duration) (time.Duration, time.Duration) {
	return length * 4 / 10, length * 6 / 10
}

// steady is the load of a pool that does not surge.
func steady(time.Duration) float64 { return 1 }
