// Package roster maintains the status row of an entry in the platform's table and
// reads the rows of all entries.
//
// The row, entry/<name>, holds the entry's identity, the revision of the
// configuration that it has in force, and the number of tasks in flight on hosts
// that are being drained. Only that entry writes it, each time on condition that
// its version is unchanged: promptly when the state or the report changes, and
// otherwise every [Settings.WriteInterval]. An entry that starts under the same
// name replaces the row. If the older process still runs, its next write fails, it
// is told that it is fenced, and it writes no more.
//
// A row does not show that its entry is alive. The row of a stopped entry has the
// state gone and is removed after [Settings.GoneRetention]. A row in another state
// is never removed, however old it is, since its entry may be paused or
// disconnected and may still act.
//
// # Usage
//
//	r := roster.New(roster.Settings{
//		Self: self, Table: table, Report: engine.Report,
//		OnStatuses: set.Learn, OnFenced: stopNow,
//	})
//	group.Go("roster", r.Run)
//	...
//	err := r.Announce(ctx, rock.EntryLeaving) // first step of a planned stop
//	err = r.Announce(ctx, rock.EntryGone)     // last step of a planned stop
package roster
