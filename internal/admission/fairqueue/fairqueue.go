// Package fairqueue orders waiting requests so that each organisation gets
// its weighted share, regardless of how many requests others send. It
// implements start-time fair queueing (Goyal, Vin and Cheng, 1996).
package fairqueue

import (
	"cmp"
	"slices"

	"egretproxy/internal/fleet/id"
)

// Item is one waiting request.
type Item struct {
	Organisation id.Organisation
	// Weight is the organisation's relative share. Zero counts as one.
	Weight int
	// Cost is the expected work of the request. Zero counts as one.
	Cost float64
	// Value is the request itself.
	Value any

	startTag float64
	// sequence is the order of arrival, which breaks ties between equal start
	// tags.
	sequence uint64
}

// flow holds the items of one organisation.
type flow struct {
	// items is sorted by startTag.
	items     []*Item
	finishTag float64
	weight    int
}

// Queue holds the waiting items. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queue struct {
	flows map[id.Organisation]*flow
	// virtualTime is the highest start tag of the items popped so far. It
	// never decreases.
	virtualTime float64
	length      int
	sequence    uint64
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Backlog returns the number of waiting items of one organisation.
func (q *Queue) Backlog(o id.Organisation) int {
	if f := q.flows[o]; f != nil {
		return len(f.items)
	}
	return 0
}

// Share returns the fraction of the capacity that an organisation gets among
// those with waiting items, itself included.
func (q *Queue) Share(o id.Organisation, weight int) float64 {
	total := max(1, weight)
	for k, f := range q.flows {
		if k != o && len(f.items) > 0 {
			total += f.weight
		}
	}
	return float64(max(1, weight)) / float64(total)
}

// Push appends an item to its organisation's items.
func (q *Queue) Push(i *Item) {
	if q.flows == nil {
		q.flows = map[id.Organisation]*flow{}
	}
	f := q.flows[i.Organisation]
	if f == nil {
		f = &flow{}
		q.flows[i.Organisation] = f
	}
	f.weight = max(1, i.Weight)
	i.startTag = max(q.virtualTime, f.finishTag)
	f.finishTag = i.startTag + max(1, i.Cost)/float64(f.weight)
	q.sequence++
	i.sequence = q.sequence
	f.items = append(f.items, i)
	q.length++
}

// Pop removes and returns the item with the lowest start tag among the first
// items of all organisations for which accept returns true. It returns nil if
// there is none.
func (q *Queue) Pop(accept func(*Item) bool) *Item {
	for _, i := range q.heads() {
		if !accept(i) {
			continue
		}
		q.Remove(i)
		q.virtualTime = max(q.virtualTime, i.startTag)
		return i
	}
	return nil
}

func (q *Queue) heads() []*Item {
	var out []*Item
	for _, f := range q.flows {
		if len(f.items) > 0 {
			out = append(out, f.items[0])
		}
	}
	slices.SortFunc(out, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence))
	})
	return out
}

// Remove removes an item from any position. It reports whether the item was
// in the queue.
func (q *Queue) Remove(i *Item) bool {
	f := q.flows[i.Organisation]
	if f == nil {
		return false
	}
	at := slices.Index(f.items, i)
	if at < 0 {
		return false
	}
	f.items = slices.Delete(f.items, at, at+1)
	q.length--
	if len(f.items) == 0 && f.finishTag <= q.virtualTime {
		delete(q.flows, i.Organisation)
	}
	return true
}

// Evict removes and returns the newest item of the organisation with the
// largest backlog relative to its weight. It returns nil if the arriving
// organisation, with one more item, has a backlog ratio at least as large.
func (q *Queue) Evict(arriving id.Organisation, weight int) *Item {
	own := float64(q.Backlog(arriving)+1) / float64(max(1, weight))
	var worst *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if worst == nil || backlogRatio(f) > backlogRatio(worst) {
			worst = f
		}
	}
	if worst == nil || backlogRatio(worst) <= own {
		return nil
	}
	i := worst.items[len(worst.items)-1]
	q.Remove(i)
	return i
}

func backlogRatio(f *flow) float64 { return float64(len(f.items)) / float64(f.weight) }
