package rock

// Proposal is a proposed change of records.
type Proposal struct {
	// ID is the change id. The author chooses it and uses it to look up the
	// change if the answer was lost.
	ID string
	// Who is the author, as written to the audit trail.
	Who string
	// Why is the author's reason.
	Why string
	// Records are the records to write. The version of each is the version that
	// it replaces, or 0 for a new record.
	Records []Record
	// Deletes are the records to delete. The version of each is its current
	// version.
	Deletes []Record
	// Guard holds further conditions and writes of the transaction that commits
	// the change, such as the epoch of a duty's lease.
	Guard Transaction
	// DryRun is true if the change is only checked, not committed.
	DryRun bool
}
