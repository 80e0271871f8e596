package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
)

func (j *job) setMembers(peers []Peer) {
	members := make([]planner.Member, 0, len(peers))
	next := map[id.Target]Peer{}
	for _, p := range peers {
		next[p.Target] = p
		members = append(members, p.Member)
	}
	j.peers = next
	j.plan.SetMembers(members)
	j.pacer.SetMax(j.RegionRate / float64(j.plan.CrossRegionFetchers()))
	j.crossRegionLimit.SetLimit(rate.Limit(j.pacer.Rate()))
}

func (j *job) refresh(ctx context.Context) {
	peers, err := j.Peers(ctx, j.digest)
	if err != nil {
		return
	}
	select {
	case j.members <- peers:
	default:
	}
}

func (j *job) sendQueries(ctx context.Context) {
	for _, q := range j.plan.Queries(time.Now()) {
		p, ok := j.peers[q.Peer]
		if !ok {
			continue
		}
		go j.query(ctx, p, q)
	}
}

func (j *job) query(ctx context.Context, p Peer, q planner.Query) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := json.Marshal(share.HaveRequest{Manifest: j.digest, Chunks: q.Chunks})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, j.peerURL(p).JoinPath("have").String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	sent := time.Now()
	res, err := j.Client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	var have share.HaveResponse
	if json.NewDecoder(io.LimitReader(res.Body, maxManifestBytes)).Decode(&have) != nil {
		return
	}
	select {
	case j.responses <- haveResponse{peer: p.Target, have: have.Have, rtt: time.Since(sent)}:
	case <-ctx.Done():
	}
}

// sampleRTT passes the round-trip time of queries to other regions to the
// pacer.
func (j *job) sampleRTT(resp haveResponse) {
	p, ok := j.peers[resp.peer]
	if !ok || resp.rtt == 0 || p.Region == j.Self.Region {
		return
	}
	j.pacer.Sample(resp.rtt, time.Now())
	j.crossRegionLimit.SetLimit(rate.Limit(j.pacer.Rate()))
}
