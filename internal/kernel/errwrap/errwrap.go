// Package errwrap adds context to an error that may be nil.
package errwrap

import "github.com/go-faster/errors"

// Wrap adds context to err. Unlike errors.Wrap of go-faster/errors it returns
// nil if err is nil.
func Wrap(err error, context string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, context)
}
