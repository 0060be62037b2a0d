package oper

import rock "bramleyrock"

// recordsResponse is the body of the response to GET /v1/records/{kind}.
type recordsResponse struct {
	Revision  rock.Revision `json:"revision"`
	Confirmed bool          `json:"confirmed"`
	Records   []rock.Record `json:"records"`
}
