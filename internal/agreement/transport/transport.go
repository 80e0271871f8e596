// Package transport sends Raft messages between keepers. Each member has its own
// bounded queue, so that an unresponsive one does not delay the others.
package transport

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/rpc"
)

const (
	queueLength = 256
	sendTimeout = 2 * time.Second
)

// Transport sends Raft messages to keepers. It is safe for concurrent use.
type Transport struct {
	ctx   context.Context
	tls   *tls.Config
	codec frame.Codec

	mu sync.Mutex
	// queues is keyed by address.
	queues map[string]chan record.Message
}

// New returns a transport that sends messages until the context is cancelled.
// A nil tlsConfig means plain TCP.
func New(ctx context.Context, tlsConfig *tls.Config, codec frame.Codec) *Transport {
	return &Transport{ctx: ctx, tls: tlsConfig, codec: codec, queues: map[string]chan record.Message{}}
}

// Send queues a message without blocking. The message is dropped if the member
// has no address or its queue is full.
func (t *Transport) Send(to record.Member, m record.Message) {
	if to.Address == "" {
		return
	}
	select {
	case t.queue(to.Address) <- m:
	default:
	}
}

func (t *Transport) queue(address string) chan record.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	if q == nil {
		q = make(chan record.Message, queueLength)
		t.queues[address] = q
		go t.deliver(address, q)
	}
	return q
}

func (t *Transport) deliver(address string, q chan record.Message) {
	client := &rpc.Client{Address: address, TLS: t.tls, Codec: t.codec, DialTimeout: sendTimeout}
	defer client.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q:
			_ = client.Notify(t.ctx, api.MethodRaft, m)
		}
	}
}
