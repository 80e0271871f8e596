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
	// prefixBytes is the part of a prompt that decides where it is routed.
	prefixBytes = 1024
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is the expected answer where the caller says nothing.
	defaultMaxTokens = 256
)

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// modelRequest is the part of a completion request that the entry reads.
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

// knownModels lists the models of the bundles in force and on their way, and
// those that targets still serve.
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

// complete answers a completion, as one body or as a stream.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
	c, done, ref := e.admit(w, r)
	if ref != nil {
		e.refuse(w, c.id, ref)
		return
	}
	defer done()
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		e.refuse(w, c.id, refusal.New(http.StatusBadRequest, refusal.BadRequest, "body is no valid JSON: "+err.Error()))
		return
	}
	v := e.currentView()
	if !slices.Contains(knownModels(&v), id.Model(m.Model)) {
		e.refuse(w, c.id, refusal.New(http.StatusNotFound, refusal.UnknownModel, "there is no model "+strings.ToValidUTF8(m.Model, "?")))
		return
	}
	x := e.newExchange(w, r, c)
	x.poolRequest = targetpool.Request{
		Organisation: c.organisation, Weight: c.limits.Weight,
		Cost: estimateCost(c.body, m), Model: id.Model(m.Model), Prefix: prefixHash(c.organisation, m),
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

// prefixHash hashes the first part of the prompt together with organisation and
// model, since caches are not shared between those.
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
