package spread

import (
	"egretproxy/internal/measure/links"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
)

func (r *run) next(n *instance) {
	for _, p := range n.plan.Next(r.cfg.Parallel-n.active, r.now()) {
		r.start(n, p)
	}
}

// start begins a transfer and watches it for a standstill.
func (r *run) start(n *instance, p planner.Pick) {
	n.active++
	if !r.reserve(p) {
		r.clock.After(2*r.latency(n, r.byID[p.Peer]), func() {
			n.active--
			n.plan.Failed(p, planner.Busy, r.now())
			n.plan.AddPeerChunks(p.Peer, r.byID[p.Peer].have, r.now())
			if !n.dead {
				r.next(n)
			}
		})
		return
	}
	over := r.path(n, p)
	var f *links.Flow
	f = r.clock.Start(r.cfg.ChunkBytes, over, func() { r.end(n, f, p) })
	n.running[f] = p
	r.watch(n, f, p)
}

// reserve takes a place for an upload at a peer.
func (r *run) reserve(p planner.Pick) bool {
	if p.Peer == "" {
		return true
	}
	peer := r.byID[p.Peer]
	if p.CrossRegion {
		if peer.crossings >= share.CrossRegionUploads {
			return false
		}
		peer.crossings++
		return true
	}
	if peer.uploads >= share.LocalUploads {
		return false
	}
	peer.uploads++
	return true
}

func (r *run) release(p planner.Pick) {
	if p.Peer == "" {
		return
	}
	if p.CrossRegion {
		r.byID[p.Peer].crossings--
		return
	}
	r.byID[p.Peer].uploads--
}

func (r *run) path(n *instance, p planner.Pick) []*links.Link {
	if p.Peer == "" {
		over := []*links.Link{r.origin, n.down}
		if r.cfg.OriginOverRegion && n.region != 0 {
			over = append(over, r.out[0], r.in[n.region])
		}
		return over
	}
	peer := r.byID[p.Peer]
	over := []*links.Link{peer.up, n.down}
	if peer.region != n.region && r.cfg.RegionRate > 0 {
		over = append(over, r.out[peer.region], r.in[n.region])
	}
	return over
}

// watch ends a transfer whose source stands still.
func (r *run) watch(n *instance, f *links.Flow, p planner.Pick) {
	r.clock.After(stallTimeout, func() {
		if _, ok := n.running[f]; !ok {
			return
		}
		if r.stands(p) {
			r.clock.Stop(f)
			r.release(p)
			delete(n.running, f)
			n.active--
			n.plan.Failed(p, planner.Interrupted, r.now())
			r.next(n)
			return
		}
		r.watch(n, f, p)
	})
}

func (r *run) stands(p planner.Pick) bool {
	if p.Peer == "" {
		return r.origin.Rate == 0
	}
	return r.byID[p.Peer].up.Rate == 0
}

func (r *run) end(n *instance, f *links.Flow, p planner.Pick) {
	delete(n.running, f)
	n.active--
	r.release(p)
	if n.dead {
		return
	}
	r.account(n, p)
	if p.Peer != "" {
		n.plan.AddPeerChunks(p.Peer, r.byID[p.Peer].have, r.now())
	}
	lie := r.rand.Float64() < r.cfg.CorruptShare || p.Peer != "" && r.byID[p.Peer].liar
	if lie {
		n.plan.Failed(p, planner.Corrupt, r.now())
		r.next(n)
		return
	}
	n.have.Set(p.Chunk)
	n.plan.Finished(p, r.now())
	n.left--
	if n.left == 0 {
		n.doneAt = r.clock.Now()
		r.open--
	}
	r.next(n)
}

func (r *run) account(n *instance, p planner.Pick) {
	if p.Peer == "" {
		r.drawn += r.cfg.ChunkBytes
		if r.cfg.OriginOverRegion && n.region != 0 {
			r.crossed += r.cfg.ChunkBytes
		}
		return
	}
	if r.byID[p.Peer].region != n.region {
		r.crossed += r.cfg.ChunkBytes
	}
}
