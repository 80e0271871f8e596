package spread

import (
	"egretproxy/internal/measure/netsim"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
)

func (r *run) startTransfers(n *instance) {
	for _, p := range n.planner.Next(r.cfg.MaxTransfers-n.activeTransfers, r.now()) {
		r.startTransfer(n, p)
	}
}

// startTransfer begins a transfer and watches it for a standstill.
func (r *run) startTransfer(n *instance, p planner.Pick) {
	n.activeTransfers++
	if !r.reserveUpload(p) {
		r.sim.After(2*r.latency(n, r.byID[p.Peer]), func() {
			n.activeTransfers--
			n.planner.Failed(p, planner.Busy, r.now())
			n.planner.AddPeerChunks(p.Peer, r.byID[p.Peer].have, r.now())
			if !n.crashed {
				r.startTransfers(n)
			}
		})
		return
	}
	over := r.path(n, p)
	var f *netsim.Flow
	f = r.sim.StartFlow(r.cfg.ChunkBytes, over, func() { r.finishTransfer(n, f, p) })
	n.flows[f] = p
	r.watchForStall(n, f, p)
}

// reserveUpload takes a place for an upload at a peer.
func (r *run) reserveUpload(p planner.Pick) bool {
	if p.Peer == "" {
		return true
	}
	peer := r.byID[p.Peer]
	if p.CrossRegion {
		if peer.crossRegionUploads >= share.CrossRegionUploads {
			return false
		}
		peer.crossRegionUploads++
		return true
	}
	if peer.localUploads >= share.LocalUploads {
		return false
	}
	peer.localUploads++
	return true
}

func (r *run) releaseUpload(p planner.Pick) {
	if p.Peer == "" {
		return
	}
	if p.CrossRegion {
		r.byID[p.Peer].crossRegionUploads--
		return
	}
	r.byID[p.Peer].localUploads--
}

func (r *run) path(n *instance, p planner.Pick) []*netsim.Link {
	if p.Peer == "" {
		over := []*netsim.Link{r.origin, n.downlink}
		if r.cfg.OriginOverRegion && n.region != 0 {
			over = append(over, r.regionOut[0], r.regionIn[n.region])
		}
		return over
	}
	peer := r.byID[p.Peer]
	over := []*netsim.Link{peer.uplink, n.downlink}
	if peer.region != n.region && r.cfg.RegionRate > 0 {
		over = append(over, r.regionOut[peer.region], r.regionIn[n.region])
	}
	return over
}

// watchForStall ends a transfer whose source stands still.
func (r *run) watchForStall(n *instance, f *netsim.Flow, p planner.Pick) {
	r.sim.After(stallTimeout, func() {
		if _, ok := n.flows[f]; !ok {
			return
		}
		if r.sourceStalled(p) {
			r.sim.StopFlow(f)
			r.releaseUpload(p)
			delete(n.flows, f)
			n.activeTransfers--
			n.planner.Failed(p, planner.Interrupted, r.now())
			r.startTransfers(n)
			return
		}
		r.watchForStall(n, f, p)
	})
}

func (r *run) sourceStalled(p planner.Pick) bool {
	if p.Peer == "" {
		return r.origin.Rate == 0
	}
	return r.byID[p.Peer].uplink.Rate == 0
}

func (r *run) finishTransfer(n *instance, f *netsim.Flow, p planner.Pick) {
	delete(n.flows, f)
	n.activeTransfers--
	r.releaseUpload(p)
	if n.crashed {
		return
	}
	r.countBytes(n, p)
	if p.Peer != "" {
		n.planner.AddPeerChunks(p.Peer, r.byID[p.Peer].have, r.now())
	}
	lie := r.rand.Float64() < r.cfg.CorruptFraction || p.Peer != "" && r.byID[p.Peer].malicious
	if lie {
		n.planner.Failed(p, planner.Corrupt, r.now())
		r.startTransfers(n)
		return
	}
	n.have.Set(p.Chunk)
	n.planner.Finished(p, r.now())
	n.missing--
	if n.missing == 0 {
		n.doneAt = r.sim.Now()
		r.incomplete--
	}
	r.startTransfers(n)
}

func (r *run) countBytes(n *instance, p planner.Pick) {
	if p.Peer == "" {
		r.originBytes += r.cfg.ChunkBytes
		if r.cfg.OriginOverRegion && n.region != 0 {
			r.crossRegionBytes += r.cfg.ChunkBytes
		}
		return
	}
	if r.byID[p.Peer].region != n.region {
		r.crossRegionBytes += r.cfg.ChunkBytes
	}
}
