package cell

import "math/bits"

// chunkSet is a set of chunks of a job's tasks. The zero value is empty.
type chunkSet struct {
	words []uint64
}

const bitsPerWord = 64

// add adds a chunk.
func (s *chunkSet) add(chunk int) {
	for len(s.words) <= chunk/bitsPerWord {
		s.words = append(s.words, 0)
	}
	s.words[chunk/bitsPerWord] |= 1 << (chunk % bitsPerWord)
}

// remove removes a chunk.
func (s *chunkSet) remove(chunk int) {
	if s.contains(chunk) {
		s.words[chunk/bitsPerWord] &^= 1 << (chunk % bitsPerWord)
	}
}

// addAll adds all chunks of another set.
func (s *chunkSet) addAll(o chunkSet) {
	for _, chunk := range o.list() {
		s.add(chunk)
	}
}

func (s *chunkSet) contains(chunk int) bool {
	return chunk/bitsPerWord < len(s.words) && s.words[chunk/bitsPerWord]&(1<<(chunk%bitsPerWord)) != 0
}

// count returns the number of chunks in the set.
func (s *chunkSet) count() int {
	n := 0
	for _, w := range s.words {
		n += bits.OnesCount64(w)
	}
	return n
}

// list returns the chunks in the set, in order.
func (s *chunkSet) list() []int {
	var list []int
	for i, w := range s.words {
		for ; w != 0; w &= w - 1 {
			list = append(list, i*bitsPerWord+bits.TrailingZeros64(w))
		}
	}
	return list
}

// clear removes all chunks.
func (s *chunkSet) clear() { clear(s.words) }
