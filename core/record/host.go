package record

import (
	"encoding/json"
	"math"

	rock "bramleyrock"
)

// maxHostSlots is the maximum number of slots of a host.
const maxHostSlots = 4096

// Host is the content of a host's record.
type Host struct {
	spec  HostSpec
	extra Extra
}

// HostSpec holds the fields of a [Host].
type HostSpec struct {
	// Address is the IP address and port of the host's target.
	Address string
	// Zone is the availability zone.
	Zone string
	// Rack is the rack within the zone; hosts of a rack can fail together.
	Rack string
	// Pool is the pool that the host is in; "" for none.
	Pool string
	// Generation grows with every move of the host to another pool.
	Generation uint64
	// Slots is the maximum number of tasks that run on the host at the same
	// time.
	Slots int
	// Open is true if new work may be placed on the host.
	Open bool
	// ClosedBy is the key of the record that closed the host, such as "move/m1";
	// "" if the host is open.
	ClosedBy string
	// Maintenance is the host's progress in the last wave that included it, or
	// nil. The pointer may be replaced, but the value must not be changed.
	Maintenance *Maintenance
}

// NewHost returns the host described by s.
func NewHost(s HostSpec) Host { return Host{spec: s} }

// Spec returns a copy of the host's fields.
func (h Host) Spec() HostSpec { return h.spec }

// With returns a copy of h as modified by change; unknown fields are kept.
func (h Host) With(change func(s *HostSpec)) Host {
	change(&h.spec)
	return h
}

// Extra returns the unknown fields.
func (h Host) Extra() Extra { return h.extra }

// ToHost returns the host with that name in the form of a [rock.Fleet].
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

// hostFields are the fields of schema version 1.
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

// decodeHost decodes a host; f collects the invalid fields.
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
