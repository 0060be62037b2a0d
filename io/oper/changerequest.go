package oper

import rock "bramleyrock"

// changeRequest is the body of POST /v1/changes.
type changeRequest struct {
	ChangeID string        `json:"change_id"`
	Why      string        `json:"why"`
	Records  []rock.Record `json:"records"`
	Deletes  []rock.Record `json:"deletes"`
	DryRun   bool          `json:"dry_run"`
}
