package queue

// itemHeap is a heap of waiting requests, the next one at the top. If fifo is
// true, they are ordered by arrival alone. It implements
// [container/heap.Interface].
type itemHeap struct {
	list []*item
	fifo bool
}

// Len implements [sort.Interface].
func (h *itemHeap) Len() int { return len(h.list) }

// Less implements [sort.Interface].
func (h *itemHeap) Less(i, j int) bool {
	if h.fifo {
		return h.list[i].ticket < h.list[j].ticket
	}
	return h.list[i].before(h.list[j])
}

// Swap implements [sort.Interface].
func (h *itemHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push implements [container/heap.Interface].
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(h.list)
	h.list = append(h.list, it)
}

// Pop implements [container/heap.Interface].
func (h *itemHeap) Pop() any {
	last := len(h.list) - 1
	it := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return it
}
