// Package id names the identifiers that the processes exchange.
package id

import (
	"crypto/rand"
	"encoding/hex"
)

// Target names one engine or plain service.
type Target string

// Domain names a failure domain.
type Domain string

// Region names a region, which holds one or more failure domains.
type Region string

// Organisation names a customer whose requests are accounted together.
type Organisation string

// Model names a model that engines serve.
type Model string

// Service names a plain service that targets serve.
type Service string

// Bundle names one immutable version of a bundle.
type Bundle string

// Keeper names one member of the agreed log. A keeper that lost its disk
// returns under a new Keeper id.
type Keeper string

// Request identifies one operator change or one caller request.
type Request string

// Operator names the person behind a change.
type Operator string

// Version is the index of a change in the agreed log.
type Version uint64

// Fence is the index in the agreed log of an order or a session. A larger
// fence replaces a smaller one.
type Fence uint64

const requestBytes = 12

// NewRequest returns a random request id.
func NewRequest() Request {
	var b [requestBytes]byte
	_, _ = rand.Read(b[:])
	return Request(hex.EncodeToString(b[:]))
}
