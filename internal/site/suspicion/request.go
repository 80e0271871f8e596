package suspicion

import (
	"bytes"
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/site/quarantine"
)

const (
	// requestMoments convict a request: at three different moments, an ordinary one
	// hardly is at an engine that ends for other reasons, without a response in
	// between that comes to its end. servedMoments convict one that was served
	// before, such as one that many callers send.
	requestMoments = 3
	servedMoments  = 4
	// maxRequestSuspects limits the requests of which entries are told. Only these
	// can be convicted, since entries could not object to others.
	maxRequestSuspects = 32
)

// suspectRequests returns what counts against the requests that are not shut out yet,
// and finds the request that explains each end. At each end of an engine there are
// others beside the guilty one, so that the request with most ends explains all its
// ends, and only what is left counts against the next. The caller holds mu.
func (j *Judge) suspectRequests(inForce []quarantine.Verdict, requests []id.PromptPart) []*suspicion {
	shutOut := map[id.PromptPart]bool{}
	for _, v := range inForce {
		if v.OnRequest() {
			shutOut[v.Parts[0]] = true
		}
	}
	var all []*suspicion
	for _, k := range requests {
		if shutOut[k] {
			continue
		}
		if s := j.parts[k].count(k, beforeResponse, j.parts[k].begunAt); s.moments >= suspectMoments {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, byGravity)
	var out []*suspicion
	var blamed []byte
	for _, s := range all {
		if len(out) > 0 && bytes.Equal(s.members, blamed) {
			// Nothing tells which of the two is guilty.
			twin := *out[len(out)-1]
			twin.part = s.part
			out = append(out, &twin)
			continue
		}
		left := j.parts[s.part].count(s.part, beforeResponse, j.parts[s.part].begunAt)
		if left.moments < suspectMoments {
			continue
		}
		blamed = s.members
		out = append(out, left)
		for _, e := range j.parts[s.part].ends {
			if e.cause == "" && len(e.explained) == 0 && e.at.After(j.parts[s.part].begunAt) {
				e.cause = s.part
			}
		}
	}
	slices.SortFunc(out, byGravity)
	return out[:min(len(out), maxRequestSuspects)]
}

// candidates returns the suspicions that may belong to the same verdict.
func (s *suspicion) candidates(all []*suspicion) []*suspicion {
	if digest.IsDigest(s.part) {
		return []*suspicion{s}
	}
	return slices.DeleteFunc(slices.Clone(all), func(o *suspicion) bool { return digest.IsDigest(o.part) })
}
