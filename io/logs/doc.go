// Package logs sets up the program's logs: short sentences, each with the
// prefix of the part that wrote it, as text or JSON.
//
// # Usage
//
//	log, err := logs.New(os.Stderr, "text", "info")
//	front := log.WithField("part", "front")
//	front.Info("Door is open.")
//
// The text form of that line is
//
//	2026-01-02T03:04:05.000Z INFO front: Door is open.
package logs
