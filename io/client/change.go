package client

import (
	rock "bramleyrock"
)

// Change is a change of records that an operator requests.
type Change struct {
	// ChangeID identifies the change, so that [Client.FindChange] can determine
	// whether it was accepted if the answer was lost.
	ChangeID string `json:"change_id"`
	// Why is the operator's reason, for the audit trail.
	Why string `json:"why,omitempty"`
	// Records are the records to write, with the versions that they replace.
	Records []rock.Record `json:"records,omitempty"`
	// Deletes are the records to delete, with their current versions.
	Deletes []rock.Record `json:"deletes,omitempty"`
	// DryRun checks the change without making it.
	DryRun bool `json:"dry_run,omitempty"`
}
