// Package drain decides whether it is proved that nothing runs on a host and
// that nobody can start anything there any more.
//
// The proof has two parts. Every entry that may place on the host, which means
// every registered entry of the host's availability zone, has reported a
// revision in which the host is closed, with nothing in flight. And the
// platform's view of the host, taken after the last of these reports, shows no
// running lease. A silent entry holds the proof up; it is left out only on
// evidence that it cannot act: it said that it ended, a newer incarnation has
// its address, the platform lists its host as gone, or an operator vouches
// for it in the record.
//
// # Usage
//
//	v := drain.NewView(entries, hosts, memory)
//	wait, ok := v.Drained(drain.Question{Host: "h1", Zone: "a", After: revision, Since: closedAt})
//	if !ok {
//		// wait says what the proof lacks.
//	}
package drain
