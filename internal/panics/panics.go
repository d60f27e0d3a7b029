// Package panics turns a panic into an error, so that one malformed message or one broken
// invariant ends the work that met it and not the process.
package panics

import (
	"runtime/debug"

	"github.com/pkg/errors"
)

// Error is a panic that was recovered.
type Error struct {
	// Value is what was passed to panic.
	Value any
	// Stack is the start of the stack at the panic, at most maxStackBytes.
	Stack string
}

// maxStackBytes bounds the stack that is kept, since it goes into a log line.
const maxStackBytes = 4 << 10

// Error implements error.
func (e *Error) Error() string { return errors.Errorf("panic: %v", e.Value).Error() }

// New returns the error for a recovered value. It must be called by the deferred function
// that recovered it.
func New(value any) *Error {
	stack := debug.Stack()
	return &Error{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// ToError sets err to an *Error if the surrounding function panics. It has to be deferred
// directly.
func ToError(err *error) {
	if value := recover(); value != nil {
		*err = New(value)
	}
}

// Stack returns the stack of a recovered panic in the chain of err, or "".
func Stack(err error) string {
	var recovered *Error
	if errors.As(err, &recovered) {
		return recovered.Stack
	}
	return ""
}
