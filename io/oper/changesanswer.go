package oper

import rock "bramleyrock"

// changesAnswer answers a question about history. ReadTo is the revision at
// which the search ended.
type changesAnswer struct {
	Changes []rock.Change `json:"changes"`
	ReadTo  rock.Revision `json:"read_to"`
}
