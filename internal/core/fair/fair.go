// Package fair orders waiting requests by start-time fair queueing, so that every client account
// gets its weighted share of a server under load. Within an account the more urgent requests come
// first, so that they do not wait behind a burst of the account's own less urgent ones.
//
// The queue holds thousands of items and changes with each statement, so it is modified in place
// instead of being an immutable value. It does no I/O and reads no clock.
package fair

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is one waiting request.
type Item struct {
	// Account is the client account that the request runs for.
	Account string
	// Weight is the account's share relative to other accounts; below 1 counts as 1.
	Weight int
	// Cost is the work that the request causes at the server, such as 1 for a statement.
	Cost float64
	// Priority orders the items of one account; 0 is the most urgent. Items of the same priority
	// are in order of arrival.
	Priority int
	// Value belongs to the caller; the queue does not use it.
	Value any

	// arrival is the virtual time at which the item was pushed or, if it was inserted before
	// another item, the arrival of that one. start is the start tag, set when the item is taken.
	arrival float64
	start   float64
}

// Queue orders items fairly between accounts. The zero value is not usable; see New.
// It must not be used by several goroutines at once.
type Queue struct {
	limit       int
	virtualTime float64
	accounts    map[string]*accountQueue
	ready       queueHeap
	length      int
	// sweepThreshold is the number of account queues at which the next sweep is due.
	sweepThreshold int
}

// accountQueue holds the waiting items of one account, the next first, and the virtual time at
// which the last one taken finishes.
type accountQueue struct {
	account   string
	finish    float64
	items     []*Item
	heapIndex int
}

// New returns a queue that keeps at most limit items for each account.
func New(limit int) *Queue {
	return &Queue{limit: limit, accounts: map[string]*accountQueue{}, sweepThreshold: minSweepThreshold}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Ahead returns how many of the waiting items would be taken before an item of an account
// that was pushed now with a priority. Items pushed later may still overtake it.
func (q *Queue) Ahead(account string, priority int) int {
	start, ahead := q.virtualTime, 0
	if l := q.accounts[account]; l != nil {
		ahead = l.position(priority)
		if ahead < len(l.items) {
			start = l.items[ahead].arrival
		}
		start = max(start, l.finishAfter(ahead))
	}
	for _, l := range q.ready {
		if l.account != account {
			ahead += l.countUntil(start)
		}
	}
	return ahead
}

// Waiting returns the waiting items in the order in which they would be taken if no other came.
func (q *Queue) Waiting() []*Item {
	type tagged struct {
		item  *Item
		start float64
	}
	all := make([]tagged, 0, q.length)
	for _, l := range q.ready {
		finish := l.finish
		for _, it := range l.items {
			start := max(it.arrival, finish)
			all = append(all, tagged{item: it, start: start})
			finish = start + it.duration()
		}
	}
	slices.SortStableFunc(all, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.item.Account, b.item.Account))
	})
	out := make([]*Item, len(all))
	for i, t := range all {
		out[i] = t.item
	}
	return out
}

// position returns the number of items of the account that an item of a priority would follow.
func (l *accountQueue) position(priority int) int {
	i := len(l.items)
	for i > 0 && l.items[i-1].Priority > priority {
		i--
	}
	return i
}

// finishAfter returns the virtual time at which the first count items finish.
func (l *accountQueue) finishAfter(count int) float64 {
	finish := l.finish
	for _, it := range l.items[:count] {
		finish = max(it.arrival, finish) + it.duration()
	}
	return finish
}

// countUntil returns how many of the items start at a virtual time or before.
func (l *accountQueue) countUntil(start float64) int {
	finish := l.finish
	for i, it := range l.items {
		itemStart := max(it.arrival, finish)
		if itemStart > start {
			return i
		}
		finish = itemStart + it.duration()
	}
	return len(l.items)
}

// duration returns the virtual time that an item takes.
func (it *Item) duration() float64 { return it.Cost / float64(max(it.Weight, 1)) }

// Push adds an item, and reports false when its account's queue is full.
func (q *Queue) Push(it *Item) bool {
	l := q.accounts[it.Account]
	if l == nil {
		q.sweep()
		l = &accountQueue{account: it.Account, heapIndex: -1}
		q.accounts[it.Account] = l
	}
	if len(l.items) >= q.limit {
		return false
	}
	it.arrival = q.virtualTime
	i := l.position(it.Priority)
	if i < len(l.items) {
		// The account has had a waiting item since then.
		it.arrival = l.items[i].arrival
	}
	l.items = slices.Insert(l.items, i, it)
	q.length++
	if l.heapIndex < 0 {
		heap.Push(&q.ready, l)
	} else {
		heap.Fix(&q.ready, l.heapIndex)
	}
	return true
}

// IsFull reports whether an account's queue is full.
func (q *Queue) IsFull(account string) bool {
	l := q.accounts[account]
	return l != nil && len(l.items) >= q.limit
}

// LeastUrgent returns the last item of an account if it is less urgent than a priority, or nil.
// It is the one to refuse in favour of an item for which there is no room.
func (q *Queue) LeastUrgent(account string, priority int) *Item {
	l := q.accounts[account]
	if l == nil || len(l.items) == 0 {
		return nil
	}
	if last := l.items[len(l.items)-1]; last.Priority > priority {
		return last
	}
	return nil
}

// nextStart returns the start of the next item.
func (l *accountQueue) nextStart() float64 { return max(l.items[0].arrival, l.finish) }

// Pop removes and returns the next item in fair order, or nil when none waits.
func (q *Queue) Pop() *Item {
	if len(q.ready) == 0 {
		return nil
	}
	l := q.ready[0]
	it := l.items[0]
	it.start = l.nextStart()
	l.finish = it.start + it.duration()
	l.items = l.items[1:]
	q.length--
	q.virtualTime = max(q.virtualTime, it.start)
	q.reorder(l)
	return it
}

// Remove removes an item if it still waits. Its account is not charged for it.
func (q *Queue) Remove(it *Item) {
	l := q.accounts[it.Account]
	if l == nil {
		return
	}
	i := slices.Index(l.items, it)
	if i < 0 {
		return
	}
	l.items = slices.Delete(l.items, i, i+1)
	q.length--
	q.reorder(l)
}

// reorder restores the heap after the items of an account queue changed.
func (q *Queue) reorder(l *accountQueue) {
	if len(l.items) == 0 {
		heap.Remove(&q.ready, l.heapIndex)
		q.dropIdle(l)
		return
	}
	heap.Fix(&q.ready, l.heapIndex)
}

// dropIdle drops an empty account queue whose finish has passed. One that finishes
// later stays, so that the next item of its account does not start before that.
// Once no item waits at all, every queue is dropped and the virtual time starts again
// at 0.
func (q *Queue) dropIdle(l *accountQueue) {
	if l.finish <= q.virtualTime {
		delete(q.accounts, l.account)
	}
	if q.length == 0 {
		clear(q.accounts)
		q.virtualTime = 0
	}
}

// minSweepThreshold is the number of account queues below which there is no sweep.
const minSweepThreshold = 64

// sweep drops the empty account queues whose finish has passed, once there are twice
// as many queues as the last sweep left. Without it a Queue that never runs empty would
// keep them forever.
func (q *Queue) sweep() {
	if len(q.accounts) < q.sweepThreshold {
		return
	}
	for name, l := range q.accounts {
		if len(l.items) == 0 && l.finish <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
	q.sweepThreshold = max(2*len(q.accounts), minSweepThreshold)
}

// queueHeap is a heap of the account queues that have items, by the start of their
// first item.
type queueHeap []*accountQueue

func (h queueHeap) Len() int { return len(h) }

func (h queueHeap) Less(i, j int) bool {
	a, b := h[i].nextStart(), h[j].nextStart()
	if a != b {
		return a < b
	}
	return h[i].account < h[j].account
}

func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	l := x.(*accountQueue)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	l.heapIndex = -1
	*h = old[:len(old)-1]
	return l
}
