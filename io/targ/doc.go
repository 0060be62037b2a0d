// Package targ is the client of targets: it runs tasks on hosts as JSON over
// HTTP and settles what became of each.
//
// The calls of a target are:
//
//	POST   /run                     TaskForm -> the answer
//	POST   /tasks                   TaskForm -> no content
//	GET    /tasks/{id}                       -> StatusForm, renews the lease
//	POST   /tasks/{id}/checkpoint            -> StatusForm
//	POST   /tasks/{id}/revoke                -> StatusForm
//	DELETE /tasks/{id}                       -> StatusForm
//	GET    /usage                            -> UsageForm
//
// A target starts a task id at most once: POST /run or POST /tasks with the id
// of a task that it knows joins that task, so that a call may be repeated on
// another connection. It refuses a task whose deadline has passed. A refusal
// is a problem body, see [bramleyrock/io/probl], whose verdict tells whether
// the task was started; a task that was refused as not_run is never started
// later, so that a late copy of the call changes nothing. Revoking a task that
// was not started makes sure that it never will be, and answers the state
// unknown; a task that was started goes on. Deleting a task stops it, or revokes
// it if it was not started.
//
// A call carries an id in the header Bramleyrock-Call. Its answer, or refusal,
// carries this id, the task id in the header Bramleyrock-Task and a digest in
// the header Content-Digest (RFC 9530). The client takes an answer only if it
// has its whole length, the digest of its bytes and the ids of its call and
// task. An answer that is lost, cut short or another's is fetched again by task
// id on a new connection.
//
// While an answer is outstanding the client asks for the task's status on new
// connections. Work may so take as long as it needs, while a connection that
// has gone silent is found and replaced: an ended task's answer is fetched, and
// a task that the target does not know is sent again under the same id. If it
// is refused then, it is revoked, and so it is settled as not_run although its
// first bytes may still be on the way.
//
// A task whose caller gives up is cancelled on its target in the background.
//
// # Usage
//
//	c := targ.New(targ.Settings{})
//	defer c.Close()
//	answer, err := c.Run(ctx, host, task)
//	if rock.VerdictOf(err) == rock.NotRun {
//		// The host has not started the task.
//	}
package targ
