package feed

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Settings holds what a configuration needs besides records. The zero value
// knows all schema versions and no token but those of organisations.
type Settings struct {
	// Codec is what the program knows of schema versions.
	Codec record.Codec
	// BootstrapDigest is the digest of the token of the operator of the whole
	// system, as made by [record.Digest]; "" for none.
	BootstrapDigest string
}

// Empty returns the configuration before the first change.
func (s Settings) Empty() *Config {
	return &Config{settings: s, byKind: map[rock.Kind]*recordList{}, pools: map[string]poolIndex{}}
}

// Build returns the configuration of that revision with these records. It
// fails if a record is there twice or its key is not allowed. A record that
// this program cannot read is kept and listed by [Config.DecodeErrors].
func (s Settings) Build(revision rock.Revision, records []rock.Record) (*Config, error) {
	c := s.Empty()
	c.revision = revision
	for _, r := range records {
		if err := r.Key().Check(); err != nil {
			return nil, fmt.Errorf("build configuration %d: %w", revision, err)
		}
		if _, ok := c.Record(r.Key()); ok {
			return nil, fmt.Errorf("build configuration %d: record %v is there twice", revision, r.Key())
		}
		c.set(r.Key(), nil, &r)
	}
	return c, nil
}

// Build returns the configuration of that revision with these records and the
// zero [Settings].
func Build(revision rock.Revision, records []rock.Record) (*Config, error) {
	return Settings{}.Build(revision, records)
}
