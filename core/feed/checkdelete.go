package feed

import (
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// checkDelete returns an error if the record with that key must not be deleted:
// another record refers to it, or it is a host that is in a pool.
func (k *checker) checkDelete(key rock.Key) error {
	switch key.Kind() {
	case rock.KindOrganisation:
		return k.checkNoPools(key)
	case rock.KindPool:
		if hosts := k.after.PoolHosts(key.Name(), ""); len(hosts) > 0 {
			return inUse(key, rock.NewKey(rock.KindHost, hosts[0].Name()))
		}
		return k.checkUnreferenced(key, func(b record.Body) bool { return refersToPool(b, key.Name()) },
			rock.KindBudget, rock.KindWave, rock.KindMove)
	case rock.KindHost:
		if h, ok := k.before.Host(key.Name()); ok && h.Pool() != "" {
			return invalid(key, "the host is in pool %s: move it out of the pool first", h.Pool())
		}
		return k.checkUnreferenced(key, func(b record.Body) bool { return refersToHost(b, key.Name()) }, rock.KindMove)
	}
	return nil
}

// checkNoPools returns an error if the organisation with that key has pools.
func (k *checker) checkNoPools(key rock.Key) error {
	return k.checkUnreferenced(key, func(b record.Body) bool {
		p, ok := b.(record.Pool)
		return ok && p.Organisation() == key.Name()
	}, rock.KindPool)
}

// checkUnreferenced returns an error if a record of one of the kinds refers to
// key. A record that this program cannot decode counts as a reference, since it
// may contain one.
func (k *checker) checkUnreferenced(key rock.Key, refers func(b record.Body) bool, kinds ...rock.Kind) error {
	for _, kind := range kinds {
		for _, r := range k.after.Records(kind) {
			b, err := k.after.settings.Codec.Decode(r)
			if err != nil || refers(b) {
				return inUse(key, r.Key())
			}
		}
	}
	return nil
}

// inUse returns the failure of the deletion of key, to which by refers.
func inUse(key, by rock.Key) error { return invalid(key, "the record is in use by %v", by) }

// refersToPool reports whether a budget, or a move or wave that has not ended,
// names the pool.
func refersToPool(b record.Body, pool string) bool {
	switch b := b.(type) {
	case record.Budget:
		return b.Pool() == pool
	case record.Move:
		s := b.Spec()
		return !s.State.Ended() && (s.From == pool || s.To == pool)
	case record.Wave:
		s := b.Spec()
		return !s.State.Ended() && slices.Contains(s.Pools, pool)
	}
	return false
}

// refersToHost reports whether a move that has not ended names the host.
func refersToHost(b record.Body, host string) bool {
	m, ok := b.(record.Move)
	return ok && !m.Spec().State.Ended() && m.Spec().Host == host
}
