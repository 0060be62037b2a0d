package record

import (
	"encoding/json"
	"math"

	rock "bramleyrock"
)

// maxHostSlots is the greatest number of slots of a host.
const maxHostSlots = 4096

// Host is the content of a host's record.
type Host struct {
	spec  HostSpec
	extra Extra
}

// HostSpec holds the parts of a [Host].
type HostSpec struct {
	// Address is the IP address and port of the host's target.
	Address string
	// Zone is the availability zone.
	Zone string
	// Rack is the failure domain within the zone.
	Rack string
	// Pool is the pool that the host is in; "" for none.
	Pool string
	// Generation grows with every move.
	Generation uint64
	// Slots is the number of tasks that run at the same time.
	Slots int
	// Open is true if the host may be given new work.
	Open bool
	// ClosedBy is what closed the host, such as "move/m1"; "" if it is open.
	ClosedBy string
	// Maintenance is the host's progress in the last wave that took it, or nil.
	// It must not be changed, but may be replaced.
	Maintenance *Maintenance
}

// NewHost returns the host described by s.
func NewHost(s HostSpec) Host { return Host{spec: s} }

// Spec returns a copy of the host's parts.
func (h Host) Spec() HostSpec { return h.spec }

// With returns a copy of h as changed by the function; unknown fields are kept.
func (h Host) With(change func(s *HostSpec)) Host {
	change(&h.spec)
	return h
}

// Extra returns the fields that this program does not know.
func (h Host) Extra() Extra { return h.extra }

// ToHost returns the host as the request path sees it.
func (h Host) ToHost(name string) rock.Host {
	s := h.spec
	return rock.NewHost(rock.HostSpec{
		Name:       name,
		Address:    s.Address,
		Zone:       s.Zone,
		Rack:       s.Rack,
		Pool:       s.Pool,
		Generation: s.Generation,
		Slots:      s.Slots,
		Open:       s.Open,
	})
}

// Kind implements [Body].
func (h Host) Kind() rock.Kind { return rock.KindHost }

var hostFields = []string{"address", "zone", "rack", "pool", "generation", "slots", "open", "closed_by", "maintenance"}

// Encode implements [Body].
func (h Host) Encode(int) (json.RawMessage, error) {
	s := h.spec
	o := object{
		"address":    s.Address,
		"zone":       s.Zone,
		"rack":       s.Rack,
		"pool":       s.Pool,
		"generation": s.Generation,
		"slots":      s.Slots,
		"open":       s.Open,
	}
	if s.ClosedBy != "" {
		o["closed_by"] = s.ClosedBy
	}
	if s.Maintenance != nil {
		o["maintenance"] = s.Maintenance.toObject()
	}
	return o.encode(h.extra, hostFields)
}

func decodeHost(f *fields) Host {
	s := HostSpec{
		Address:    f.text("address"),
		Zone:       f.name("zone", "the name of an availability zone", true),
		Rack:       f.name("rack", "the name of a rack", false),
		Pool:       f.name("pool", "the name of a pool", false),
		Generation: f.count("generation", 0, math.MaxInt64, false),
		Slots:      int(f.count("slots", 0, maxHostSlots, true)),
		Open:       f.boolean("open"),
		ClosedBy:   f.text("closed_by"),
	}
	if part := f.object("maintenance"); part != nil {
		s.Maintenance = decodeMaintenance(part)
		f.addErrors(part)
	}
	if s.Address == "" {
		f.addMissing("address", "an IP address and port such as 10.0.0.7:9000")
	}
	return Host{spec: s, extra: f.extra()}
}
