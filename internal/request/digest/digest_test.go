package digest

import (
	"testing"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/prompt"
)

// TestDigestTellsRequestsApart guards against two requests with the same digest, and
// against parts of prompts that look like one.
func TestDigestTellsRequestsApart(t *testing.T) {
	base := Request{Method: "POST", Host: "a.example", URI: "/p?q=1", Organisation: "o", Prompt: "a:1,b:2", Body: []byte("body")}
	seen := map[id.PromptPart]string{base.Digest(): "base"}
	for name, change := range map[string]func(r *Request){
		"method": func(r *Request) { r.Method = "PUT" }, "host": func(r *Request) { r.Host = "b.example" },
		"query": func(r *Request) { r.URI = "/p?q=2" }, "organisation": func(r *Request) { r.Organisation = "" },
		"prompt": func(r *Request) { r.Prompt = "a:1" }, "body": func(r *Request) { r.Body = nil },
		"border": func(r *Request) { r.Organisation, r.Prompt = "oa", ":1,b:2" },
	} {
		r := base
		change(&r)
		d := r.Digest()
		if other := seen[d]; other != "" {
			t.Errorf("%s has the digest of %s", name, other)
		}
		seen[d] = name
		if !IsDigest(d) {
			t.Errorf("%s is no digest", d)
		}
	}
	same := base
	same.Host = "A.example"
	if same.Digest() != base.Digest() {
		t.Error("the case of the host counts")
	}
	for _, p := range prompt.SharedParts(string(base.Digest()) + ":1,request:1,REQUEST:1,\x00request:,x:1") {
		if IsDigest(p) {
			t.Errorf("part %q looks like a digest", p)
		}
	}
}
