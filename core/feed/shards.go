package feed

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of parts of a [shards] map.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shards is a persistent map: a change copies only one part of it, so its cost
// does not grow with the number of hosts. The zero value is empty.
type shards[V any] struct {
	parts *[shardCount]map[string]V
	size  int
}

// shardOf returns the index of the part that holds the key.
func shardOf(key string) int { return int(maphash.String(shardSeed, key) % shardCount) }

// get returns the value of key.
func (s shards[V]) get(key string) (V, bool) {
	if s.parts == nil {
		var none V
		return none, false
	}
	v, ok := s.parts[shardOf(key)][key]
	return v, ok
}

// with returns a copy in which key has the value.
func (s shards[V]) with(key string, value V) shards[V] {
	return s.update(key, func(part map[string]V) { part[key] = value })
}

// without returns a copy that does not have the key.
func (s shards[V]) without(key string) shards[V] {
	if _, ok := s.get(key); !ok {
		return s
	}
	return s.update(key, func(part map[string]V) { delete(part, key) })
}

// update returns a copy in which the part that holds the key is changed.
func (s shards[V]) update(key string, change func(part map[string]V)) shards[V] {
	next := shards[V]{parts: &[shardCount]map[string]V{}}
	if s.parts != nil {
		*next.parts = *s.parts
	}
	i := shardOf(key)
	part := maps.Clone(next.parts[i])
	if part == nil {
		part = map[string]V{}
	}
	before := len(part)
	change(part)
	next.parts[i] = part
	next.size = s.size + len(part) - before
	return next
}

// each calls f for every pair, in no order.
func (s shards[V]) each(f func(key string, value V)) {
	if s.parts == nil {
		return
	}
	for _, part := range s.parts {
		for k, v := range part {
			f(k, v)
		}
	}
}
