package raft

import "egretproxy/internal/agreement/record"

// log holds the entries that are not compacted.
type log struct {
	// base and baseTerm are the index and term before the first entry.
	base     uint64
	baseTerm uint64
	// entries[i] has the index base+1+i.
	entries []record.Entry
}

func (l *log) reset(index, term uint64) {
	l.base = index
	l.baseTerm = term
	l.entries = nil
}

func (l *log) lastIndex() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	return l.term(l.lastIndex())
}

// term returns the term of the entry at index, or zero if the log does not
// hold it.
func (l *log) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.lastIndex() {
		return 0
	}
	return l.entries[index-l.base-1].Term
}

func (l *log) append(e record.Entry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index on. It limits the capacity of the
// slice, since callers may still hold the dropped entries.
func (l *log) truncate(index uint64) {
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
}

// entriesFrom returns the entries from index on. A limit above zero bounds
// their number, and maxBytesPerAppend then bounds their size.
func (l *log) entriesFrom(index uint64, limit int) []record.Entry {
	if index > l.lastIndex() || index <= l.base {
		return nil
	}
	out := l.entries[index-l.base-1:]
	if limit == 0 {
		return out[:len(out):len(out)]
	}
	size := 0
	for i, e := range out {
		size += len(e.Data)
		if i > 0 && (i >= limit || size > maxBytesPerAppend) {
			return out[:i:i]
		}
	}
	return out[:len(out):len(out)]
}

func (l *log) entriesBetween(first, last uint64) []record.Entry {
	if first > last || first <= l.base {
		return nil
	}
	lo, hi := first-l.base-1, last-l.base
	return l.entries[lo:hi:hi]
}

func (l *log) compact(index uint64) {
	if index <= l.base || index > l.lastIndex() {
		return
	}
	term := l.term(index)
	rest := l.entries[index-l.base:]
	l.entries = append([]record.Entry(nil), rest...)
	l.base = index
	l.baseTerm = term
}
