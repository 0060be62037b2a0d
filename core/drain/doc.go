// Package drain decides whether a closed host is proved to be drained: nothing
// runs on it, and no entry can start anything on it any more.
//
// The proof has two parts. First, every entry that may place work on the host,
// which means every registered entry of the host's availability zone, has
// reported a revision in which the host is closed, and that it has nothing in
// flight there. Second, the platform's view of the host, taken after the last of
// these reports, shows no running lease. An entry that does not report delays
// the proof. It is left out only on evidence that it cannot act: it reported that
// it had ended, a newer incarnation uses its address, the platform lists its host
// as gone, or an operator has confirmed in the record that it is stopped.
//
// # Usage
//
//	v := drain.NewView(entries, hosts, history)
//	waitsFor, ok := v.Drained(drain.Query{Host: "h1", Zone: "a", OpenRevision: revision, ClosedAt: closedAt})
//	if !ok {
//		// waitsFor says what the proof still waits for.
//	}
package drain
