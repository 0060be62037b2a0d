package claim

// expiryHeap is a heap of entries, the one that expires first at the top. It
// implements [container/heap.Interface].
type expiryHeap []*entry

// Len implements [sort.Interface].
func (s expiryHeap) Len() int { return len(s) }

// Less implements [sort.Interface].
func (s expiryHeap) Less(i, j int) bool { return s[i].expires.Before(s[j].expires) }

// Swap implements [sort.Interface].
func (s expiryHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements [container/heap.Interface].
func (s *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop implements [container/heap.Interface].
func (s *expiryHeap) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return e
}
