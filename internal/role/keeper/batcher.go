package keeper

import (
	"context"
	"time"

	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/rpc"
)

const (
	// batchWindow is the time for which a batch collects renewals.
	batchWindow = 10 * time.Millisecond
	// maxRenewals is the maximum number of renewals in a batch.
	maxRenewals = 512
	// renewQueue is the maximum number of waiting renewals. Further ones are
	// refused, so that many agents starting at once cannot build up a backlog.
	renewQueue = 2048
	// batchWorkers is the maximum number of batches in progress.
	batchWorkers = 4
)

type renewal struct {
	subscriber api.Subscriber
	done       chan renewalOutcome
}

type renewalOutcome struct {
	index uint64
	err   error
}

// batcher groups renewals into batches, so that many share one confirmation by
// the quorum. It is safe for concurrent use.
type batcher struct {
	queue chan renewal
	// flush confirms a batch and returns the log index to wait for.
	flush func(context.Context, []api.Subscriber) (uint64, error)
}

func newBatcher(flush func(context.Context, []api.Subscriber) (uint64, error)) *batcher {
	return &batcher{queue: make(chan renewal, renewQueue), flush: flush}
}

// confirm adds the subscriber to a batch and returns the confirmed log index. It
// returns CodeBusy if the queue is full, and CodeUnavailable if the context ends
// first.
func (b *batcher) confirm(ctx context.Context, s api.Subscriber) (uint64, error) {
	r := renewal{subscriber: s, done: make(chan renewalOutcome, 1)}
	select {
	case b.queue <- r:
	default:
		return 0, rpc.NewError(rpc.CodeBusy, "too many renewals wait")
	}
	select {
	case out := <-r.done:
		return out.index, out.err
	case <-ctx.Done():
		return 0, rpc.NewError(rpc.CodeUnavailable, "renewal timed out")
	}
}

// run sends batches until the context ends.
func (b *batcher) run(ctx context.Context) {
	slots := make(chan struct{}, batchWorkers)
	for {
		batch := b.collect(ctx)
		if len(batch) == 0 {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			b.send(ctx, batch)
		}()
	}
}

func (b *batcher) collect(ctx context.Context) []renewal {
	var batch []renewal
	select {
	case r := <-b.queue:
		batch = append(batch, r)
	case <-ctx.Done():
		return nil
	}
	window := time.NewTimer(batchWindow)
	defer window.Stop()
	for len(batch) < maxRenewals {
		select {
		case r := <-b.queue:
			batch = append(batch, r)
		case <-window.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (b *batcher) send(ctx context.Context, batch []renewal) {
	subscribers := make([]api.Subscriber, 0, len(batch))
	for _, r := range batch {
		subscribers = append(subscribers, r.subscriber)
	}
	index, err := b.flush(ctx, subscribers)
	for _, r := range batch {
		r.done <- renewalOutcome{index: index, err: err}
	}
}
