// Package id defines the types of the identifiers that processes exchange.
package id

import (
	"crypto/rand"
	"encoding/hex"
)

// Target identifies an engine or an instance of a plain service.
type Target string

// Domain identifies a failure domain.
type Domain string

// Region identifies a region, which contains one or more failure domains.
type Region string

// Organisation identifies a customer. Its requests share limits and a weight.
type Organisation string

// Model identifies a model that engines serve.
type Model string

// PromptPart identifies a part of prompts, which requests may share. Verdicts and
// evidence also name whole requests with it, by their digests.
type PromptPart string

// Service identifies a plain service that targets serve.
type Service string

// Bundle identifies one immutable version of a bundle.
type Bundle string

// Keeper identifies one member of the Raft group. A keeper that lost its disk
// joins again under a new id.
type Keeper string

// Request identifies one operator change or one caller request.
type Request string

// Operator is the name of the person who submitted a change.
type Operator string

// Version is the index of a change in the replicated log.
type Version uint64

// Fence is a fencing token: the index in the replicated log of an order or a
// session. A larger fence supersedes a smaller one.
type Fence uint64

const requestBytes = 12

// NewRequest returns a random request id of 12 bytes in hexadecimal.
func NewRequest() Request {
	var b [requestBytes]byte
	_, _ = rand.Read(b[:])
	return Request(hex.EncodeToString(b[:]))
}
