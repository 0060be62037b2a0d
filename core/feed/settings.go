package feed

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Settings holds the parameters of a configuration. The zero value supports all
// schema versions and accepts only tokens of organisations.
type Settings struct {
	// Codec decodes the records; it determines the supported schema versions.
	Codec record.Codec
	// BootstrapDigest is the digest, as returned by [record.Digest], of the token
	// of the operator of the whole system; "" for none.
	BootstrapDigest string
}

// Empty returns the configuration before the first change.
func (s Settings) Empty() *Config {
	return &Config{settings: s, byKind: map[rock.Kind]*recordList{}, pools: map[string]poolIndex{}}
}

// Build returns the configuration of that revision with these records. It fails
// if two records have the same key or if a key is not allowed. A record that this
// program cannot decode is kept and returned by [Config.DecodeErrors].
func (s Settings) Build(revision rock.Revision, records []rock.Record) (*Config, error) {
	c := s.Empty()
	c.revision = revision
	for _, r := range records {
		if err := r.Key().Check(); err != nil {
			return nil, fmt.Errorf("build configuration %d: %w", revision, err)
		}
		if _, ok := c.Record(r.Key()); ok {
			return nil, fmt.Errorf("build configuration %d: duplicate record %v", revision, r.Key())
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
