// Package drive plays experiments in virtual time: seeded arrivals to the
// schedulers of entries, on stand-ins of hosts with slots. It compares the
// present ways of queueing and placing with simpler ones.
//
// # Usage
//
//	for _, r := range drive.Surges(1, 2, 3) {
//		fmt.Println(r.Way(), r.Useful(), r.WorstRatio())
//	}
//
// The same seeds give the same results.
package drive
