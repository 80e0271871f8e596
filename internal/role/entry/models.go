package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
)

const (
	// prefixBytes is the length of the prompt prefix that decides where a
	// request is routed.
	prefixBytes = 1024
	// bytesPerToken is used to estimate the number of prompt tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the expected response length if the caller sets no
	// limit.
	defaultMaxTokens = 256
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// modelRequest holds the fields of a completion request that the entry reads.
type modelRequest struct {
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.directory.Find(r); !ok {
		e.refuse(w, requestID(r), refusal.New(http.StatusUnauthorized, refusal.UnknownOrganisation, "no organisation has this key"))
		return
	}
	v := e.currentView()
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range knownModels(&v) {
		out.Data = append(out.Data, modelItem{ID: string(m), Object: "model", OwnedBy: "egretproxy"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// knownModels lists the models of the current and the next bundle and those
// that targets still serve.
func knownModels(v *view.View) []id.Model {
	seen := map[id.Model]bool{}
	for _, b := range []id.Bundle{v.Rollout.Current, v.Rollout.Next} {
		for _, m := range v.Bundles[b].Models {
			seen[m.Name] = true
		}
	}
	for _, t := range v.Targets {
		if t.Installed.Model != "" {
			seen[t.Installed.Model] = true
		}
	}
	out := make([]id.Model, 0, len(seen))
	for m := range seen {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// complete handles a completion request. The response is a single body or a
// stream.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
	req, done, ref := e.admit(w, r)
	if ref != nil {
		e.refuse(w, req.id, ref)
		return
	}
	defer done()
	var m modelRequest
	if err := json.Unmarshal(req.body, &m); err != nil {
		e.refuse(w, req.id, refusal.New(http.StatusBadRequest, refusal.BadRequest, "body is no valid JSON: "+err.Error()))
		return
	}
	v := e.currentView()
	if !slices.Contains(knownModels(&v), id.Model(m.Model)) {
		e.refuse(w, req.id, refusal.New(http.StatusNotFound, refusal.UnknownModel, "there is no model "+strings.ToValidUTF8(m.Model, "?")))
		return
	}
	x := e.newExchange(w, r, req)
	x.poolRequest = targetpool.Request{
		Organisation: req.organisation, Weight: req.limits.Weight,
		Cost: estimateCost(req.body, m), Model: id.Model(m.Model), Prefix: prefixHash(req.organisation, m),
	}
	x.run()
}

func estimateCost(body []byte, m modelRequest) float64 {
	tokens := m.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	return float64(len(body)/bytesPerToken + tokens)
}

// prefixHash hashes the prompt prefix together with the organisation and the
// model, since caches are not shared across them.
func prefixHash(o id.Organisation, m modelRequest) uint64 {
	text := m.Prompt
	if len(m.Messages) > 0 {
		text = m.Messages
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(o) + "\x00" + m.Model + "\x00")
	_, _ = d.Write(text[:min(len(text), prefixBytes)])
	return d.Sum64()
}
