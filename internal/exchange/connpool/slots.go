package connpool

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
)

// errNoSlot means that all connections that the pool may open are in use.
var errNoSlot = errors.New("no connection is free")

// reserve waits until the pool may open one more connection. It closes an idle one if
// that makes room, and otherwise waits for its turn until the context ends.
func (p *Pool) reserve(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.Limit <= 0 || p.open < p.Limit {
			p.open++
			p.mu.Unlock()
			return nil
		}
		if c := p.takeOldest(); c != nil {
			p.mu.Unlock()
			c.close()
			continue
		}
		turn := make(chan struct{})
		p.waiting = append(p.waiting, turn)
		p.mu.Unlock()
		select {
		case <-turn:
			return nil
		case <-ctx.Done():
			p.leave(turn)
			return errors.Wrap(errNoSlot, ctx.Err().Error())
		}
	}
}

// leave gives up a turn, or the connection if the turn has come meanwhile.
func (p *Pool) leave(turn chan struct{}) {
	p.mu.Lock()
	i := slices.Index(p.waiting, turn)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release()
	}
}

// release returns the place of a connection that was closed, or passes it on.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
		return
	}
	p.open--
}

// takeOldest removes the idle connection that expires first, or returns nil. It
// requires mu.
func (p *Pool) takeOldest() *persistConn {
	var out *persistConn
	var at string
	for address, conns := range p.idle {
		// The most recently used one is the last.
		if len(conns) > 0 && (out == nil || conns[0].reuseUntil.Before(out.reuseUntil)) {
			out, at = conns[0], address
		}
	}
	if out != nil {
		p.idle[at] = p.idle[at][1:]
	}
	return out
}
