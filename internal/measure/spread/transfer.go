package spread

import (
	"egretproxy/internal/measure/netsim"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
)

// startTransfers starts the transfers that an instance's planner selects.
func (s *simulation) startTransfers(n *instance) {
	for _, p := range n.planner.Next(s.cfg.MaxTransfers-n.activeTransfers, s.now()) {
		s.startTransfer(n, p)
	}
}

// startTransfer starts a transfer and watches it for a stall. If the peer has no
// free upload slot, the planner learns so after a round trip.
func (s *simulation) startTransfer(n *instance, p planner.Pick) {
	n.activeTransfers++
	if !s.reserveUpload(p) {
		s.sim.After(2*s.latency(n, s.byID[p.Peer]), func() {
			n.activeTransfers--
			n.planner.Failed(p, planner.Busy, s.now())
			n.planner.AddPeerChunks(p.Peer, s.byID[p.Peer].have, s.now())
			if !n.crashed {
				s.startTransfers(n)
			}
		})
		return
	}
	path := s.path(n, p)
	var f *netsim.Flow
	f = s.sim.StartFlow(s.cfg.ChunkBytes, path, func() { s.finishTransfer(n, f, p) })
	n.flows[f] = p
	s.watchForStall(n, f, p)
}

// reserveUpload takes an upload slot at the peer and returns false if none is
// free. The origin has no limit.
func (s *simulation) reserveUpload(p planner.Pick) bool {
	if p.Peer == "" {
		return true
	}
	peer := s.byID[p.Peer]
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

// releaseUpload frees the upload slot of a transfer.
func (s *simulation) releaseUpload(p planner.Pick) {
	if p.Peer == "" {
		return
	}
	if p.CrossRegion {
		s.byID[p.Peer].crossRegionUploads--
		return
	}
	s.byID[p.Peer].localUploads--
}

// path returns the links that a transfer crosses.
func (s *simulation) path(n *instance, p planner.Pick) []*netsim.Link {
	if p.Peer == "" {
		path := []*netsim.Link{s.origin, n.downlink}
		if s.cfg.OriginOverRegion && n.region != 0 {
			path = append(path, s.regionOut[0], s.regionIn[n.region])
		}
		return path
	}
	peer := s.byID[p.Peer]
	path := []*netsim.Link{peer.uplink, n.downlink}
	if peer.region != n.region && s.cfg.RegionRate > 0 {
		path = append(path, s.regionOut[peer.region], s.regionIn[n.region])
	}
	return path
}

// watchForStall checks a transfer every stallTimeout and interrupts it if its
// source has stalled.
func (s *simulation) watchForStall(n *instance, f *netsim.Flow, p planner.Pick) {
	s.sim.After(stallTimeout, func() {
		if _, ok := n.flows[f]; !ok {
			return
		}
		if s.sourceStalled(p) {
			s.sim.StopFlow(f)
			s.releaseUpload(p)
			delete(n.flows, f)
			n.activeTransfers--
			n.planner.Failed(p, planner.Interrupted, s.now())
			s.startTransfers(n)
			return
		}
		s.watchForStall(n, f, p)
	})
}

// sourceStalled reports whether the origin or the peer sends nothing.
func (s *simulation) sourceStalled(p planner.Pick) bool {
	if p.Peer == "" {
		return s.origin.Rate == 0
	}
	return s.byID[p.Peer].uplink.Rate == 0
}

// finishTransfer handles a completed transfer: it reports the chunk to the planner
// as finished or corrupt and starts the next transfers.
func (s *simulation) finishTransfer(n *instance, f *netsim.Flow, p planner.Pick) {
	delete(n.flows, f)
	n.activeTransfers--
	s.releaseUpload(p)
	if n.crashed {
		return
	}
	s.countBytes(n, p)
	if p.Peer != "" {
		n.planner.AddPeerChunks(p.Peer, s.byID[p.Peer].have, s.now())
	}
	corrupt := s.rand.Float64() < s.cfg.CorruptFraction || p.Peer != "" && s.byID[p.Peer].malicious
	if corrupt {
		n.planner.Failed(p, planner.Corrupt, s.now())
		s.startTransfers(n)
		return
	}
	n.have.Set(p.Chunk)
	n.planner.Finished(p, s.now())
	n.missing--
	if n.missing == 0 {
		n.doneAt = s.sim.Now()
		s.incomplete--
	}
	s.startTransfers(n)
}

// countBytes adds a transfer to the bytes from the origin and between regions.
func (s *simulation) countBytes(n *instance, p planner.Pick) {
	if p.Peer == "" {
		s.originBytes += s.cfg.ChunkBytes
		if s.cfg.OriginOverRegion && n.region != 0 {
			s.crossRegionBytes += s.cfg.ChunkBytes
		}
		return
	}
	if s.byID[p.Peer].region != n.region {
		s.crossRegionBytes += s.cfg.ChunkBytes
	}
}
