// Package books stores an entry's configuration. It commits changes to the
// platform's table, follows the feed of the changes committed by all entries,
// and fetches newer configurations from peers while the platform is unavailable.
//
// # Changes
//
// A change is committed in one transaction. It writes the row "head", which
// holds the newest revision, the rows of the changed records, a row of the feed
// and a row for the change id, on the condition that the version of head is
// unchanged. The condition puts the changes of all entries in one total order: a
// change that was validated against revision N is accepted as revision N+1 or
// not at all. After a conflict it is validated again. Changes that are queued at
// the same time share a transaction.
//
// If the response to a commit is lost, the change id is looked up. If it does
// not exist, the row head is rewritten with the same value under the same
// condition. Once that write succeeds, or fails because head has changed, the
// lost transaction can no longer take effect. The change itself is never written
// again while its outcome is unknown.
//
// # Following
//
// [Books.Follow] reads head about once a second and fetches the changes after
// the revision in force. [Books.Hint] makes it read head at once when a peer
// reports a newer revision. The peer itself is asked only while the platform is
// unavailable. A configuration is put in force only if its revision is greater
// than the one in force, so the revision in force never decreases.
//
// # Usage
//
//	b := books.New(books.Settings{Table: table, Objects: objects, Now: time.Now})
//	g.Go("follow", b.Follow)
//	change, err := b.Change(ctx, now, proposal)
//	fleet, ok := b.Fleet()
//	<-b.Watch() // a newer configuration is in force
package books
