// Package books keeps an entry's configuration: it makes changes in the
// platform's table, follows the feed of changes that all entries make, and
// keeps going on peers' word while the platform is away.
//
// # Changes
//
// Every change is one transaction: the condition on the version of the row
// "head", the rows of the records, a row of the feed and a row that names the
// change id. The condition puts all changes of all entries in one order, so a
// change that was checked against revision N is accepted as N+1 or not at all;
// on a conflict it is checked again. Changes that wait at the same time share a
// transaction.
//
// When the answer of a commit is lost, the change id is looked up. If it is
// missing, the row head is written unchanged, under the same condition: once
// that succeeds, or head has moved on, the lost transaction can no longer take
// effect. The change itself is never written while its outcome is unknown.
//
// # Following
//
// [Books.Follow] reads head about once a second and fetches the changes after
// its own revision. [Books.Hint] tells it of a newer revision at a peer. The
// platform is asked first and the peer if the platform is away. A configuration
// is put in force only if its revision is greater than the one in force.
//
// # Usage
//
//	b := books.New(books.Settings{Table: table, Objects: objects, Now: time.Now})
//	g.Go("follow", b.Follow)
//	change, err := b.Change(ctx, now, proposal)
//	fleet, ok := b.Fleet()
//	<-b.Watch() // a newer configuration is in force
package books
