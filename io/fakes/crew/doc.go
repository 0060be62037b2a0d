// Package crew is a stand-in, in memory and in simulated time, for the entries
// of a site and for its targets, as far as they matter to the duties: entries
// follow the configuration, place tasks on the hosts of their availability
// zone, report what they have in flight, and can be frozen, cut off, killed
// and replaced at any moment. Targets remember whose tasks they run.
//
// # Usage
//
//	floor := crew.NewFloor()
//	rows := crew.NewRegistry()
//	e := crew.NewEntry(crew.Settings{Member: m, Source: book, Floor: floor, Registry: rows, Random: random})
//	e.Poll(now)
//	e.Choose("tins")
//	e.Send(now)
//	e.Report(now)
//	for _, v := range floor.Violations() {
//		t.Error(v)
//	}
package crew
