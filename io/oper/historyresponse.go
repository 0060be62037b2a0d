package oper

import rock "bramleyrock"

// historyResponse is the body of the response to GET /v1/changes. ReadTo is the
// revision at which the search ended.
type historyResponse struct {
	Changes []rock.Change `json:"changes"`
	ReadTo  rock.Revision `json:"read_to"`
}
