package forms

import rock "bramleyrock"

// Host is the body of a host record.
type Host struct {
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	Generation uint64 `json:"generation"`
	Slots      int    `json:"slots"`
	// Open is true if the host may be given new work.
	Open bool `json:"open"`
	// ClosedBy is the key of the record for which the host is closed, such as
	// "move/m1".
	ClosedBy string `json:"closed_by,omitempty"`
	// Maintenance is the host's progress in the last wave that took it.
	Maintenance *Maintenance `json:"maintenance,omitempty"`
}

// DecodeHost returns the body of a host record.
func DecodeHost(r rock.Record) (Host, error) {
	var h Host
	return h, decode(r, &h)
}
