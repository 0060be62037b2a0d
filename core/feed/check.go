package feed

import (
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Check returns the configuration after the edits, or a failure with verdict
// not_run that says what is wrong with them: a body that is malformed, a
// reference to a record that does not exist, a record deleted while others
// refer to it, an address or token used twice, a pool over its limit of slots.
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

// checkEdit checks an edit by itself.
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

// checker checks edits against the configurations before and after them.
type checker struct {
	before    *Config
	after     *Config
	addresses map[string]string
	digests   map[string]string
}

// check checks one edit against the configuration after the change.
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

// invalid returns the refusal of a record of a change.
func invalid(key rock.Key, format string, args ...any) error {
	return rock.Fail("check", key.String(), rock.BadInput, rock.NotRun).Becausef(format, args...)
}

// checkPoolExists refuses a field that names a pool which does not exist; "" is none.
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

// checkTokens refuses a token that another organisation has.
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

// checkPool refuses a pool whose organisation does not exist, or whose hosts
// have more slots than it allows.
func (k *checker) checkPool(key rock.Key, p record.Pool) error {
	org := p.Organisation()
	if _, ok := k.after.Record(rock.NewKey(rock.KindOrganisation, org)); org != "" && !ok {
		return invalid(key, "field organisation: got %q: want an organisation that exists", org)
	}
	return k.checkSlots(key, key.Name())
}

// checkSlots refuses more slots than the pool allows.
func (k *checker) checkSlots(key rock.Key, pool string) error {
	p := k.after.pools[pool]
	if most, sum := p.body.MaxSlots(), p.slots(); p.known && most > 0 && sum > most {
		return invalid(key, "pool %s would have %d slots: its max_slots is %d", pool, sum, most)
	}
	return nil
}

// checkHost refuses a pool that does not exist, an address that another host
// has, a generation that falls, and another pool in the same generation.
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

// addressOwner returns another host that has h's address after the change.
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

// checkMove refuses a host or pools that do not exist, unless the move ended.
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

// checkWave refuses pools that do not exist, unless the wave ended.
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
