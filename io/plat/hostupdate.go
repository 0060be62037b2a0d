package plat

import rock "bramleyrock"

// HostUpdateJSON is the JSON form of a [rock.HostUpdate].
type HostUpdateJSON struct {
	Hosts []HostJSON      `json:"hosts"`
	Next  rock.HostCursor `json:"next"`
	Full  bool            `json:"whole,omitempty"`
}

// FromUpdate returns the JSON form of an update.
func FromUpdate(u rock.HostUpdate) HostUpdateJSON {
	return HostUpdateJSON{FromHosts(u.Hosts()).Hosts, u.Next(), u.Full()}
}

// Update returns the update. It is full if there is no cursor, since a platform
// without support for cursors always answers with the full list.
func (f HostUpdateJSON) Update() rock.HostUpdate {
	list := HostListJSON{f.Hosts}.List()
	return rock.NewHostUpdate(list, f.Next, f.Full || f.Next == "")
}
