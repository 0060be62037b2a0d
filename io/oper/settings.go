package oper

import (
	"time"

	"bramleyrock/core/record"
	"bramleyrock/io/books"

	"github.com/sirupsen/logrus"
)

const (
	defaultMaxBody       = 4 << 20
	defaultChangeTimeout = 20 * time.Second
)

// Settings holds the parts of the operator door. Books and Now are required.
type Settings struct {
	// Books hold the records.
	Books *books.Books
	// Now returns the present time.
	Now func() time.Time
	// Codec is what the program knows of schema versions.
	Codec record.Codec
	// Log is where messages go; nil drops them.
	Log logrus.FieldLogger
	// MaxBody is the greatest size of a body, in bytes; 0 means 4 MiB.
	MaxBody int64
	// ChangeTimeout bounds a change; 0 means 20 s.
	ChangeTimeout time.Duration
}
