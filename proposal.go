package rock

// Proposal is a change that somebody wants to make.
type Proposal struct {
	// ID is the change id, chosen by the author; it settles a lost answer.
	ID string
	// Who is the author, as in the audit trail.
	Who string
	// Why is the author's reason.
	Why string
	// Records are the records to write; the version of each is the one that it
	// replaces, 0 for a new record.
	Records []Record
	// Deletes are records to delete; the version of each is the current one.
	Deletes []Record
	// Guard holds further conditions and writes of the same transaction, such
	// as the epoch of a duty's lease.
	Guard Transaction
	// DryRun checks the change without making it.
	DryRun bool
}
