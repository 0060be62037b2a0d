package oper

import rock "bramleyrock"

// changeAnswer answers a change.
type changeAnswer struct {
	Change rock.Change `json:"change"`
	DryRun bool        `json:"dry_run"`
}
