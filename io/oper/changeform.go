package oper

import rock "bramleyrock"

// changeForm is the body of a change.
type changeForm struct {
	ChangeID string        `json:"change_id"`
	Why      string        `json:"why"`
	Records  []rock.Record `json:"records"`
	Deletes  []rock.Record `json:"deletes"`
	DryRun   bool          `json:"dry_run"`
}
