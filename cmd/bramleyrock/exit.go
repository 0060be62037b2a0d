package main

import (
	"errors"

	rock "bramleyrock"
	"bramleyrock/io/conf"
)

// The exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// usageError is a mistake in the command line.
type usageError struct {
	error
}

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

// exitStatus returns the exit status for err.
func exitStatus(err error) int {
	var usage usageError
	var mistakes *conf.Mistakes
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage), errors.As(err, &mistakes):
		return exitUsage
	case rock.ReasonOf(err) == rock.OutcomeUnknown:
		return exitUnknown
	}
	return exitFailed
}
