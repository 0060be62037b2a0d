package oper

import (
	"time"

	"bramleyrock/core/record"
	"bramleyrock/io/books"

	"github.com/sirupsen/logrus"
)

const (
	defaultMaxBody       = 4 << 20 // bytes
	defaultChangeTimeout = 20 * time.Second
)

// Settings configures the operators' API. Books and Now are required.
type Settings struct {
	// Books provides the records and makes changes.
	Books *books.Books
	// Now returns the current time.
	Now func() time.Time
	// Codec decodes records and converts them between schema versions.
	Codec record.Codec
	// Log receives log messages; nil discards them.
	Log logrus.FieldLogger
	// MaxBody is the maximum size of a request body in bytes; 0 means 4 MiB.
	MaxBody int64
	// ChangeTimeout bounds the processing of a change; 0 means 20 s.
	ChangeTimeout time.Duration
}
