// Package auth authenticates and authorises requests on the caller door of an
// entry by their bearer tokens.
//
// # Usage
//
//	fleet, id, err := auth.Caller(source, request)
//	if err != nil {
//		return err // a failure with verdict not_run
//	}
package auth
