package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// keyPrefix begins every issued key and identifies its format.
	keyPrefix = "key1"
	// separator separates the parts of a key.
	separator = "~"
	// keyParts is the number of parts: prefix, issuer, incarnation, expiry in
	// milliseconds since the Unix epoch in base 36, nonce, and message
	// authentication code.
	keyParts = 6
	// macBytes is the length of the message authentication code, in bytes.
	macBytes = 16
)

// Keyring issues and verifies idempotency keys. It is safe for concurrent use.
type Keyring struct {
	secret []byte
}

// NewKeyring returns a keyring that uses the secret that all entries share.
func NewKeyring(secret []byte) *Keyring {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("bramleyrock idempotency key"))
	return &Keyring{secret: m.Sum(nil)}
}

// Issue returns the text of a new key for the organisation.
func (r *Keyring) Issue(s KeySpec, organisation string) string {
	parts := []string{keyPrefix, s.Issuer, s.Incarnation, strconv.FormatInt(s.Expires.UnixMilli(), 36), s.Nonce}
	body := strings.Join(parts, separator)
	return body + separator + r.mac(body, organisation)
}

// HasKeyFormat reports whether text begins like an issued key. It doesn't verify
// the key.
func HasKeyFormat(text string) bool { return strings.HasPrefix(text, keyPrefix+separator) }

// Verify parses the text of a key. It returns an error if the text is malformed
// or was not issued to the organisation by an entry with the same secret.
func (r *Keyring) Verify(text, organisation string) (Key, error) {
	parts := strings.Split(text, separator)
	if len(parts) != keyParts || parts[0] != keyPrefix {
		return Key{}, fmt.Errorf("idempotency key has %d parts: want %d, as issued", len(parts), keyParts)
	}
	body := text[:strings.LastIndex(text, separator)]
	if !hmac.Equal([]byte(r.mac(body, organisation)), []byte(parts[5])) {
		return Key{}, fmt.Errorf("idempotency key was not issued to organisation %s", organisation)
	}
	millis, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("expiry of idempotency key is not a number in base 36: %w", err)
	}
	return Key{issuer: parts[1], incarnation: parts[2], expires: time.UnixMilli(millis)}, nil
}

// mac returns the message authentication code of the organisation and a key's
// body, as base64url. The body is the key's text without the code.
func (r *Keyring) mac(body, organisation string) string {
	m := hmac.New(sha256.New, r.secret)
	m.Write([]byte(organisation))
	m.Write([]byte{0})
	m.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:macBytes])
}
