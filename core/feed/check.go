package feed

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Check returns the configuration after the edits, or a failure with verdict
// [rock.NotRun] that names the first invalid edit: an invalid body, a reference
// to a record that does not exist, the deletion of a record that others refer to,
// an address or token that is used twice, or a pool with more slots than its
// limit.
func (c *Config) Check(edits []rock.Edit) (*Config, error) {
	for _, e := range edits {
		if err := c.checkEdit(e); err != nil {
			return nil, err
		}
	}
	after, err := c.Apply(rock.NewChange("", c.revision+1, time.Time{}, "", "", edits))
	if err != nil {
		return nil, rock.Fail("check", "", rock.BadInput, rock.NotRun).Because(err)
	}
	k := checker{before: c, after: after, addresses: map[string]string{}, digests: map[string]string{}}
	for _, e := range edits {
		if err := k.check(e); err != nil {
			return nil, err
		}
	}
	return after, nil
}

// checkEdit checks an edit regardless of the other edits of the change.
func (c *Config) checkEdit(e rock.Edit) error {
	codec := c.settings.Codec
	if current, ok := c.Record(e.Key()); ok {
		if err := codec.CheckReplace(current, nil); err != nil {
			return err
		}
	}
	if e.To() == nil {
		return nil
	}
	_, err := codec.Decode(*e.To())
	return err
}

// checker validates the edits of one change against the configurations before and
// after the change.
type checker struct {
	before *Config
	after  *Config
	// addresses maps the host addresses in the edits checked so far to the names
	// of the hosts.
	addresses map[string]string
	// digests maps the token digests in the edits checked so far to the names of
	// the organisations.
	digests map[string]string
}

// check validates one edit.
func (k *checker) check(e rock.Edit) error {
	if e.To() == nil {
		return k.checkDelete(e.Key())
	}
	b, err := k.after.settings.Codec.Decode(*e.To())
	if err != nil {
		return err
	}
	switch b := b.(type) {
	case record.Organisation:
		return k.checkTokens(e.Key(), b)
	case record.Pool:
		return k.checkPool(e.Key(), b)
	case record.Host:
		return k.checkHost(e, b)
	case record.Budget:
		return k.checkPoolExists(e.Key(), "pool", b.Pool())
	case record.Move:
		return k.checkMove(e.Key(), b.Spec())
	case record.Wave:
		return k.checkWave(e.Key(), b.Spec())
	}
	return nil
}

// invalid returns the failure of a change that contains an invalid record.
func invalid(key rock.Key, format string, args ...any) error {
	return rock.Fail("check", key.String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// checkPoolExists returns an error if the named pool does not exist or cannot be
// decoded; "" means no pool. The field is the one that names the pool.
func (k *checker) checkPoolExists(key rock.Key, field, pool string) error {
	if pool == "" {
		return nil
	}
	if _, ok := k.after.Pool(pool); ok {
		return nil
	}
	if err, ok := k.after.decodeErrors.get(rock.NewKey(rock.KindPool, pool).String()); ok {
		return rock.Fail("check", key.String(), rock.SchemaUnsupported, rock.NotRun).Becausef("field %s: %w", field, err)
	}
	return invalid(key, "field %s: got %q: want a pool that exists", field, pool)
}

// checkTokens returns an error if another organisation or the operator of the
// whole system has one of the organisation's tokens.
func (k *checker) checkTokens(key rock.Key, o record.Organisation) error {
	for i, t := range o.Tokens() {
		owner := k.digests[t.Digest()]
		if h, ok := k.before.tokens.get(t.Digest()); ok && owner == "" {
			owner = h.identity.Organisation()
		}
		if owner != "" && owner != key.Name() || t.Digest() == k.before.settings.BootstrapDigest {
			return invalid(key, "field tokens[%d].digest: the token is in use elsewhere: want another token", i)
		}
		k.digests[t.Digest()] = key.Name()
	}
	return nil
}

// checkPool returns an error if the pool's organisation does not exist or if its
// hosts have more slots than its limit.
func (k *checker) checkPool(key rock.Key, p record.Pool) error {
	org := p.Organisation()
	if _, ok := k.after.Record(rock.NewKey(rock.KindOrganisation, org)); org != "" && !ok {
		return invalid(key, "field organisation: got %q: want an organisation that exists", org)
	}
	return k.checkSlots(key, key.Name())
}

// checkSlots returns an error if the hosts of the pool have more slots than the
// pool's limit.
func (k *checker) checkSlots(key rock.Key, pool string) error {
	p := k.after.pools[pool]
	if limit, sum := p.body.MaxSlots(), p.slots(); p.known && limit > 0 && sum > limit {
		return invalid(key, "pool %s would have %d slots: its max_slots is %d", pool, sum, limit)
	}
	return nil
}

// checkHost returns an error if the host's pool does not exist, another host has
// its address, its generation decreases, or its pool changes without a greater
// generation.
func (k *checker) checkHost(e rock.Edit, b record.Host) error {
	key, h := e.Key(), b.ToHost(e.Key().Name())
	if err := k.checkPoolExists(key, "pool", h.Pool()); err != nil {
		return err
	}
	if other, ok := k.addressOwner(h); ok {
		return invalid(key, "field address: got %q: host %s has it: want an address of its own", h.Address(), other)
	}
	k.addresses[h.Address()] = h.Name()
	if old, ok := k.before.Host(h.Name()); ok {
		if h.Generation() < old.Generation() {
			return invalid(key, "field generation: got %d: want %d or more", h.Generation(), old.Generation())
		}
		if h.Pool() != old.Pool() && h.Generation() == old.Generation() {
			return invalid(key, "field pool: changed from %q to %q in generation %d: want a greater generation", old.Pool(), h.Pool(), h.Generation())
		}
	}
	return k.checkSlots(key, h.Pool())
}

// addressOwner returns the name of another host that has h's address after the
// change, and false if there is none.
func (k *checker) addressOwner(h rock.Host) (string, bool) {
	if other, ok := k.addresses[h.Address()]; ok && other != h.Name() {
		return other, true
	}
	other, ok := k.before.addresses.get(h.Address())
	if !ok || other == h.Name() {
		return "", false
	}
	o, ok := k.after.Host(other)
	return other, ok && o.Address() == h.Address()
}

// checkMove returns an error if the host or a pool of a move that has not ended
// does not exist.
func (k *checker) checkMove(key rock.Key, m record.MoveSpec) error {
	if m.State.Ended() {
		return nil
	}
	if _, ok := k.after.Record(rock.NewKey(rock.KindHost, m.Host)); !ok {
		return invalid(key, "field host: got %q: want a host that exists", m.Host)
	}
	if err := k.checkPoolExists(key, "from", m.From); err != nil {
		return err
	}
	return k.checkPoolExists(key, "to", m.To)
}

// checkWave returns an error if a pool of a wave that has not ended does not exist.
func (k *checker) checkWave(key rock.Key, w record.WaveSpec) error {
	if w.State.Ended() {
		return nil
	}
	for i, p := range w.Pools {
		if err := k.checkPoolExists(key, fmt.Sprintf("pools[%d]", i), p); err != nil {
			return err
		}
	}
	return nil
}
