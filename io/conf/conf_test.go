package conf_test

import (
	"strings"
	"testing"
	"time"

	"bramleyrock/io/conf"

	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

type values struct {
	address *string
	timeout *time.Duration
	size    *int
	secret  *string
	format  *string
	peers   *[]string
	check   *bool
}

// newSet returns a set with a setting of each type, its flags and the values.
func newSet() (*conf.Set, *pflag.FlagSet, values) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s := conf.NewSet(flags)
	return s, flags, values{
		address: s.Address("test-address", "127.0.0.1:1", "address"),
		timeout: s.Duration("test-timeout", time.Second, time.Second, time.Minute, "timeout"),
		size:    s.Int("test-size", 5, 1, 10, "size"),
		secret:  s.Secret("test-secret", "secret", 8),
		format:  s.OneOf("test-format", "format", "text", "json"),
		peers:   s.Addresses("test-peers", "peers"),
		check:   s.Bool("test-check", "check"),
	}
}

func TestFlagOverridesVariableAndDefault(t *testing.T) {
	s, flags, v := newSet()
	assert.NilError(t, flags.Parse([]string{"--test-size", "7", "--test-check"}))
	environ := []string{"HOME=/", "BRAMLEYROCK_TEST_SIZE=8", "BRAMLEYROCK_TEST_TIMEOUT=3s", "BRAMLEYROCK_TEST_SECRET=12345678", "BRAMLEYROCK_TEST_PEERS=127.0.0.1:2, 127.0.0.1:3"}
	assert.NilError(t, s.Load(environ))
	assert.Equal(t, *v.size, 7)
	assert.Equal(t, *v.timeout, 3*time.Second)
	assert.Equal(t, *v.address, "127.0.0.1:1")
	assert.Equal(t, *v.format, "text")
	assert.DeepEqual(t, *v.peers, []string{"127.0.0.1:2", "127.0.0.1:3"})
	assert.Assert(t, *v.check)
}

// Load reports every mistake with the setting, the value and its source, and what is
// allowed. The value of a secret is not printed.
func TestEveryMistakeIsNamed(t *testing.T) {
	s, flags, _ := newSet()
	assert.NilError(t, flags.Parse([]string{"--test-size=99", "--test-address=localhost:80"}))
	err := s.Load([]string{"BRAMLEYROCK_TEST_TIMEOUT=never", "BRAMLEYROCK_TEST_SECRET=short", "BRAMLEYROCK_TEST_FORMAT=xml", "BRAMLEYROCK_TEST_PEERS=127.0.0.1", "BRAMLEYROCK_NONSENSE=1", "BRAMLEYROCK_TEST_CHECK=perhaps"})
	mistakes, ok := err.(*conf.Mistakes)
	assert.Assert(t, ok, "%v", err)
	want := []string{
		`--test-address or BRAMLEYROCK_TEST_ADDRESS: "localhost:80" from --test-address: not an IP address with port; allowed: an IP address with port`,
		`--test-timeout or BRAMLEYROCK_TEST_TIMEOUT: "never" from BRAMLEYROCK_TEST_TIMEOUT: not a duration; allowed: a duration from 1s to 1m0s`,
		`--test-size or BRAMLEYROCK_TEST_SIZE: "99" from --test-size: out of range; allowed: a whole number from 1 to 10`,
		`--test-secret or BRAMLEYROCK_TEST_SECRET: a secret of 5 bytes from BRAMLEYROCK_TEST_SECRET: too short; allowed: at least 8 bytes`,
		`--test-format or BRAMLEYROCK_TEST_FORMAT: "xml" from BRAMLEYROCK_TEST_FORMAT: unknown word; allowed: one of text, json`,
		`--test-peers or BRAMLEYROCK_TEST_PEERS: "127.0.0.1" from BRAMLEYROCK_TEST_PEERS: "127.0.0.1": not an IP address with port; allowed: IP addresses with ports, separated by commas`,
		`--test-check or BRAMLEYROCK_TEST_CHECK: "perhaps" from BRAMLEYROCK_TEST_CHECK: invalid syntax; allowed: true or false`,
		`BRAMLEYROCK_NONSENSE: unknown variable; names beginning with BRAMLEYROCK_ belong to this program`,
	}
	assert.DeepEqual(t, mistakes.Lines(), want)
	assert.Assert(t, cmp.Contains(err.Error(), "8 mistakes"))
	assert.Assert(t, !strings.Contains(err.Error(), `"short"`), "secret was printed")
}
