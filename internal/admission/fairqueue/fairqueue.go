// Package fairqueue orders waiting requests so that each organisation gets
// its weighted share, however many requests others send: start-time fair
// queueing (Goyal, Vin and Cheng, 1996).
package fairqueue

import (
	"cmp"
	"slices"

	"egretproxy/internal/fleet/id"
)

// Item is one waiting request.
type Item struct {
	Organisation id.Organisation
	// Weight is the organisation's share. Zero counts as one.
	Weight int
	// Cost is the work of the request. Zero counts as one.
	Cost float64
	// Value is the request itself.
	Value any

	startTag float64
	// sequence keeps the order of arrival among equals.
	sequence uint64
}

// flow is one organisation's items.
type flow struct {
	// items is sorted by start.
	items     []*Item
	finishTag float64
	weight    int
}

// Queue is the set of waiting items. The zero value is empty. It is not safe
// for concurrent use.
type Queue struct {
	flows map[id.Organisation]*flow
	// virtualTime is the start of the newest popped item. It never falls.
	virtualTime float64
	length      int
	sequence    uint64
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Backlog returns the waiting items of one organisation.
func (q *Queue) Backlog(o id.Organisation) int {
	if f := q.flows[o]; f != nil {
		return len(f.items)
	}
	return 0
}

// Share returns the part of the capacity that an organisation gets among
// those that wait, itself included.
func (q *Queue) Share(o id.Organisation, weight int) float64 {
	total := max(1, weight)
	for k, f := range q.flows {
		if k != o && len(f.items) > 0 {
			total += f.weight
		}
	}
	return float64(max(1, weight)) / float64(total)
}

// Push adds an item at the end of its organisation's items.
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

// Pop removes and returns the first item, in fair order of the organisations'
// heads, that suits. It returns nil if none does.
func (q *Queue) Pop(suits func(*Item) bool) *Item {
	for _, i := range q.heads() {
		if !suits(i) {
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

// Remove takes an item out, wherever it stands. It reports whether it was
// there.
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

// Evict removes the newest item of the organisation with the largest backlog
// for its weight, unless that is the given one, and returns it or nil.
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
