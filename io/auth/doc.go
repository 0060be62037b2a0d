// Package auth tells who makes a call on the caller door.
//
// # Usage
//
//	fleet, id, err := auth.Caller(source, request)
//	if err != nil {
//		return err // a failure with verdict not_run
//	}
package auth
