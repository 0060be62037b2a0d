package plat

import rock "bramleyrock"

// HostUpdateForm is the JSON form of the changes of the host list.
type HostUpdateForm struct {
	Hosts []HostJSON      `json:"hosts"`
	Next  rock.HostCursor `json:"next"`
	Whole bool            `json:"whole,omitempty"`
}

// FromUpdate returns the JSON form of an update.
func FromUpdate(u rock.HostUpdate) HostUpdateForm {
	return HostUpdateForm{FromHosts(u.Hosts()).Hosts, u.Next(), u.Full()}
}

// Update returns the update. Without a cursor it is whole: a platform that
// knows no cursors answers with the whole list.
func (f HostUpdateForm) Update() rock.HostUpdate {
	list := HostListJSON{f.Hosts}.List()
	return rock.NewHostUpdate(list, f.Next, f.Whole || f.Next == "")
}
