// Package roster keeps the status row of an entry in the platform's table and
// reads the rows of all entries.
//
// The row, entry/<name>, says who the entry is, which configuration it has in
// force and what it has in flight on hosts that are being drained. It is
// written by that entry only, each time on condition of its version: at once
// when something changes that others wait for, and otherwise seldom. A start
// under the same name replaces the row, and the older process, should it still
// run, is told that it is fenced and writes no more.
//
// A row is no sign of life. Rows of entries that stopped say gone and are
// removed after a while; a row that does not say gone is never removed, however
// old it is, since its entry may be paused or cut off and may still act.
//
// # Usage
//
//	r := roster.New(roster.Settings{
//		Self: self, Table: table, Report: engine.Report,
//		Learn: set.Learn, Fenced: stopNow,
//	})
//	group.Go("roster", r.Run)
//	...
//	err := r.Announce(ctx, rock.EntryLeaving) // at a planned stop, first
//	err = r.Announce(ctx, rock.EntryGone)     // at a planned stop, last
package roster
