// Package transport carries the agreement's messages between keepers. Each
// member has a bounded queue of its own, so that one that stands still holds
// up no other.
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

// Transport sends messages. It is safe for concurrent use.
type Transport struct {
	ctx   context.Context
	tls   *tls.Config
	codec frame.Codec

	mu sync.Mutex
	// queues is keyed by address.
	queues map[string]chan record.Message
}

// New returns a courier that works until the context ends.
func New(ctx context.Context, identity *tls.Config, codec frame.Codec) *Transport {
	return &Transport{ctx: ctx, tls: identity, codec: codec, queues: map[string]chan record.Message{}}
}

// Send queues a message and drops it if the queue is full.
func (c *Transport) Send(to record.Member, m record.Message) {
	if to.Address == "" {
		return
	}
	select {
	case c.queue(to.Address) <- m:
	default:
	}
}

func (c *Transport) queue(address string) chan record.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[address]
	if q == nil {
		q = make(chan record.Message, queueLength)
		c.queues[address] = q
		go c.deliver(address, q)
	}
	return q
}

func (c *Transport) deliver(address string, q chan record.Message) {
	client := &rpc.Client{Address: address, TLS: c.tls, Codec: c.codec, DialTimeout: sendTimeout}
	defer client.Close()
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-q:
			_ = client.Notify(c.ctx, api.MethodRaft, m)
		}
	}
}
