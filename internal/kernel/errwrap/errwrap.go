// Package errwrap adds context to errors that may be nil.
package errwrap

import "github.com/go-faster/errors"

// Wrap returns nil for a nil error, unlike errors.Wrap, and the error with
// context otherwise.
func Wrap(err error, context string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, context)
}
