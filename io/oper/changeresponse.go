package oper

import rock "bramleyrock"

// changeResponse is the body of the response to POST /v1/changes.
type changeResponse struct {
	Change rock.Change `json:"change"`
	DryRun bool        `json:"dry_run"`
}
