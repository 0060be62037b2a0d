package plat

import rock "bramleyrock"

// HostUpdateJSON is the JSON form of the changes of the host list.
type HostUpdateJSON struct {
	Hosts []HostJSON      `json:"hosts"`
	Next  rock.HostCursor `json:"next"`
	Full  bool            `json:"whole,omitempty"`
}

// FromUpdate returns the JSON form of an update.
func FromUpdate(u rock.HostUpdate) HostUpdateJSON {
	return HostUpdateJSON{FromHosts(u.Hosts()).Hosts, u.Next(), u.Full()}
}

// Update returns the update. Without a cursor it is whole: a platform that
// knows no cursors answers with the whole list.
func (f HostUpdateJSON) Update() rock.HostUpdate {
	list := HostListJSON{f.Hosts}.List()
	return rock.NewHostUpdate(list, f.Next, f.Full || f.Next == "")
}
