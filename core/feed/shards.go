package feed

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of a [shards] map.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shards is a persistent map: with and without return a modified copy that shares
// all but one of its shards with the original, so that a change of one key does
// not copy the whole map. The zero value is an empty map.
type shards[V any] struct {
	// parts holds the shards; it is nil if the map was never written.
	parts *[shardCount]map[string]V
	// size is the number of keys.
	size int
}

// shardOf returns the index of the shard that holds the key.
func shardOf(key string) int { return int(maphash.String(shardSeed, key) % shardCount) }

// get returns the value of key, and false if there is none.
func (s shards[V]) get(key string) (V, bool) {
	if s.parts == nil {
		var zero V
		return zero, false
	}
	v, ok := s.parts[shardOf(key)][key]
	return v, ok
}

// with returns a copy of s in which key has the value.
func (s shards[V]) with(key string, value V) shards[V] {
	return s.update(key, func(shard map[string]V) { shard[key] = value })
}

// without returns a copy of s without the key.
func (s shards[V]) without(key string) shards[V] {
	if _, ok := s.get(key); !ok {
		return s
	}
	return s.update(key, func(shard map[string]V) { delete(shard, key) })
}

// update returns a copy of s in which change has modified the shard of the key.
func (s shards[V]) update(key string, change func(shard map[string]V)) shards[V] {
	next := shards[V]{parts: &[shardCount]map[string]V{}}
	if s.parts != nil {
		*next.parts = *s.parts
	}
	i := shardOf(key)
	shard := maps.Clone(next.parts[i])
	if shard == nil {
		shard = map[string]V{}
	}
	before := len(shard)
	change(shard)
	next.parts[i] = shard
	next.size = s.size + len(shard) - before
	return next
}

// each calls f for every key and value, in no particular order.
func (s shards[V]) each(f func(key string, value V)) {
	if s.parts == nil {
		return
	}
	for _, shard := range s.parts {
		for k, v := range shard {
			f(k, v)
		}
	}
}
