package scheduler

import "container/heap"

// indexedHeap is a binary heap whose items store their own position, so that any item can be moved or removed in
// logarithmic time. Position -1 means that the item is not in the heap.
type indexedHeap[T any] struct {
	data  heapData[T]
	index func(T) *int
}

// newIndexedHeap returns an empty heap; index returns a pointer to the field where an item stores its position.
func newIndexedHeap[T any](less func(a, b T) bool, index func(T) *int) *indexedHeap[T] {
	return &indexedHeap[T]{data: heapData[T]{less: less, index: index}, index: index}
}

func (h *indexedHeap[T]) len() int { return len(h.data.items) }

// top returns the first item; ok is false if the heap is empty.
func (h *indexedHeap[T]) top() (item T, ok bool) {
	if len(h.data.items) == 0 {
		return item, false
	}
	return h.data.items[0], true
}

func (h *indexedHeap[T]) push(item T) { heap.Push(&h.data, item) }

// fix restores the order after the key of an item has changed; items outside the heap are ignored.
func (h *indexedHeap[T]) fix(item T) {
	if i := *h.index(item); i >= 0 {
		heap.Fix(&h.data, i)
	}
}

// remove removes an item; items outside the heap are ignored.
func (h *indexedHeap[T]) remove(item T) {
	if i := *h.index(item); i >= 0 {
		heap.Remove(&h.data, i)
	}
}

// heapData implements heap.Interface.
type heapData[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (s *heapData[T]) Len() int           { return len(s.items) }
func (s *heapData[T]) Less(i, j int) bool { return s.less(s.items[i], s.items[j]) }

func (s *heapData[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	*s.index(s.items[i]) = i
	*s.index(s.items[j]) = j
}

func (s *heapData[T]) Push(item any) {
	typed := item.(T)
	*s.index(typed) = len(s.items)
	s.items = append(s.items, typed)
}

func (s *heapData[T]) Pop() any {
	last := len(s.items) - 1
	item := s.items[last]
	var zero T
	s.items[last] = zero
	s.items = s.items[:last]
	*s.index(item) = -1
	return item
}
