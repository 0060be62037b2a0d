package queue

// itemHeap implements [container/heap.Interface].
type itemHeap struct {
	list []*item
	fifo bool
}

// Len implements [sort.Interface].
func (s *itemHeap) Len() int { return len(s.list) }

// Less implements [sort.Interface].
func (s *itemHeap) Less(i, j int) bool {
	if s.fifo {
		return s.list[i].ticket < s.list[j].ticket
	}
	return s.list[i].before(s.list[j])
}

// Swap implements [sort.Interface].
func (s *itemHeap) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.list[i].index, s.list[j].index = i, j
}

// Push implements [container/heap.Interface].
func (s *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(s.list)
	s.list = append(s.list, it)
}

// Pop implements [container/heap.Interface].
func (s *itemHeap) Pop() any {
	last := len(s.list) - 1
	it := s.list[last]
	s.list[last] = nil
	s.list = s.list[:last]
	return it
}
