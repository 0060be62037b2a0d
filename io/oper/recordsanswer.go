package oper

import rock "bramleyrock"

// recordsAnswer answers the reading of a kind.
type recordsAnswer struct {
	Revision  rock.Revision `json:"revision"`
	Confirmed bool          `json:"confirmed"`
	Records   []rock.Record `json:"records"`
}
