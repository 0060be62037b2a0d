package record

import (
	"encoding/json"
	"errors"

	rock "bramleyrock"
)

// maxPoolSlots is the maximum value of a pool's limit of slots.
const maxPoolSlots = 1_000_000

// Pool is the content of a pool's record.
//
// Schema version 1 is {"organisation": "alpha", "spare": false}. Version 2 has
// {"owner": {"organisation": "alpha"}} or {"owner": {"shared": true}} in place of
// "organisation", and the optional field "max_slots" limits the total slots of
// the pool's hosts.
type Pool struct {
	organisation string
	spare        bool
	maxSlots     int
	ownerExtra   Extra
	extra        Extra
}

// NewPool returns a pool that serves the organisation, or a shared pool, which
// serves all organisations, if organisation is "". The hosts of a spare pool may be
// lent to other pools.
func NewPool(organisation string, spare bool) Pool {
	return Pool{organisation: organisation, spare: spare}
}

// Organisation returns the organisation that the pool serves, or "" if it is
// shared.
func (p Pool) Organisation() string { return p.organisation }

// Spare reports whether the pool's hosts may be lent to other pools.
func (p Pool) Spare() bool { return p.spare }

// MaxSlots returns the maximum total of the slots of the pool's hosts; 0 means no
// limit.
func (p Pool) MaxSlots() int { return p.maxSlots }

// Extra returns the unknown fields.
func (p Pool) Extra() Extra { return p.extra }

// Kind implements [Body].
func (p Pool) Kind() rock.Kind { return rock.KindPool }

// Encode implements [Body].
func (p Pool) Encode(schema int) (json.RawMessage, error) {
	if schema == 1 {
		return p.encodeV1()
	}
	owner := object{"organisation": p.organisation}
	if p.organisation == "" {
		owner = object{"shared": true}
	}
	data, err := owner.encode(p.ownerExtra, []string{"organisation", "shared"})
	if err != nil {
		return nil, err
	}
	o := object{"owner": data, "spare": p.spare}
	if p.maxSlots > 0 {
		o["max_slots"] = p.maxSlots
	}
	return o.encode(p.extra, []string{"owner", "spare", "max_slots"})
}

// encodeV1 encodes p in schema version 1.
func (p Pool) encodeV1() (json.RawMessage, error) {
	if p.maxSlots > 0 {
		return nil, errors.New("field max_slots cannot be expressed")
	}
	if !p.ownerExtra.empty() {
		return nil, errors.New("field owner." + p.ownerExtra.Names()[0] + " cannot be expressed")
	}
	if p.organisation == "" && !p.spare {
		return nil, errors.New("a shared pool that is not spare cannot be expressed")
	}
	o := object{"spare": p.spare}
	if p.organisation != "" {
		o["organisation"] = p.organisation
	}
	return o.encode(p.extra, []string{"organisation", "spare"})
}

// decodePool decodes a pool; f collects the invalid fields.
func decodePool(schema int, f *fields) Pool {
	p := Pool{spare: f.boolean("spare")}
	if schema == 1 {
		p.organisation = f.name("organisation", "the name of an organisation", false)
		if p.organisation == "" && !p.spare {
			f.addMissing("organisation", "the name of an organisation, or spare: true for a pool that serves all")
		}
	} else {
		p.decodeOwner(f)
		p.maxSlots = int(f.count("max_slots", 0, maxPoolSlots, false))
	}
	p.extra = f.extra()
	return p
}

// decodeOwner decodes the owner of a pool of schema version 2.
func (p *Pool) decodeOwner(f *fields) {
	const want = `{"organisation": name} or {"shared": true}`
	if f.raw["owner"] == nil {
		f.addMissing("owner", want)
		return
	}
	raw := f.raw["owner"]
	owner := f.object("owner")
	if owner == nil {
		return
	}
	p.organisation = owner.name("organisation", "the name of an organisation", false)
	if shared := owner.boolean("shared"); shared == (p.organisation != "") {
		f.addInvalid("owner", raw, want)
	}
	f.addErrors(owner)
	p.ownerExtra = owner.extra()
}
