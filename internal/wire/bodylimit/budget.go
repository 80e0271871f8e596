package bodylimit

import (
	"context"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// freeBytes is the size up to which a body does not count towards a budget.
	// Nearly all are shorter.
	freeBytes = 32 << 10
	// defaultBudgetBytes is the default of Budget.Bytes.
	defaultBudgetBytes = 32 << 20
)

// Budget limits the memory of the long bodies that a process buffers at the same
// time, whatever their senders send. It is safe for concurrent use. The zero value is
// ready to use.
type Budget struct {
	// Bytes is the limit. Zero means 32 MiB.
	Bytes int64

	once sync.Once
	room *semaphore.Weighted
}

// reserve returns the bytes that a body of up to limit bytes takes of the budget.
func (b *Budget) reserve(limit int64) int64 {
	b.once.Do(func() {
		if b.Bytes <= 0 {
			b.Bytes = defaultBudgetBytes
		}
		b.room = semaphore.NewWeighted(b.Bytes)
	})
	return min(limit, b.Bytes)
}

// ReadAll is like the function ReadAll, but a long body waits until the budget has
// room for limit bytes or the context ends. Meanwhile no more of it is read, so that
// its sender waits. release must be called once the body is no longer needed.
func (b *Budget) ReadAll(ctx context.Context, body io.Reader, limit int64) (data []byte, release func(), err error) {
	data, whole, err := readStart(body, limit)
	if err != nil || whole {
		return data, func() {}, err
	}
	if limit <= freeBytes {
		return nil, func() {}, ErrTooLong
	}
	n := b.reserve(limit)
	if err := b.room.Acquire(ctx, n); err != nil {
		return nil, func() {}, err
	}
	release = func() { b.room.Release(n) }
	data, err = readRest(data, body, limit)
	if err == nil && int64(len(data)) > limit {
		err = ErrTooLong
	}
	if err != nil {
		release()
		return nil, func() {}, err
	}
	return data, release, nil
}

// ReadStart reads the body up to limit bytes, or less if the budget has no room for a
// long one, and reports whether that is the whole body. release must be called once
// the data is no longer needed.
func (b *Budget) ReadStart(body io.Reader, limit int64) (data []byte, whole bool, release func(), err error) {
	release = func() {}
	data, whole, err = readStart(body, limit)
	if err != nil || whole || limit <= freeBytes {
		return data, whole, release, err
	}
	n := b.reserve(limit)
	if !b.room.TryAcquire(n) {
		return data, false, release, nil
	}
	release = func() { b.room.Release(n) }
	data, err = readRest(data, body, limit)
	if err != nil {
		release()
		return nil, false, func() {}, err
	}
	return data, int64(len(data)) <= limit, release, nil
}

// readStart reads a body up to freeBytes or limit and one byte more, and reports
// whether that is the whole body.
func readStart(body io.Reader, limit int64) (data []byte, whole bool, err error) {
	most := min(limit, freeBytes)
	data, err = io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return nil, false, err
	}
	return data, int64(len(data)) <= most, nil
}

// readRest reads the rest of a body up to limit and one byte more. Its buffer has that
// size from the start, since a growing one takes a multiple.
func readRest(start []byte, body io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, limit+1)
	n := copy(data, start)
	for n < len(data) {
		m, err := body.Read(data[n:])
		n += m
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return data[:n], nil
}
