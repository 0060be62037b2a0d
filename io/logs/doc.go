// Package logs creates the program's logger, which writes text or JSON. Messages
// are short sentences. The field "part" names the component that wrote the line and
// is its prefix in the text format.
//
// # Usage
//
//	log, err := logs.New(os.Stderr, "text", "info")
//	front := log.WithField("part", "front")
//	front.Info("Door is open.")
//
// In the text format, the line is
//
//	2026-01-02T03:04:05.000Z INFO front: Door is open.
package logs
