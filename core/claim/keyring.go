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
	// keyPrefix begins every issued key and names its format.
	keyPrefix = "key1"
	// separator stands between the parts of a key.
	separator = "~"
	// keyParts is the number of parts: prefix, home, incarnation, expiry in
	// milliseconds, nonce and code.
	keyParts = 6
	// macBytes is the length of the message authentication code.
	macBytes = 16
)

// Keyring issues keys and proves that a key was issued. It is safe for
// concurrent use.
type Keyring struct {
	secret []byte
}

// NewKeyring returns a keyring of the secret that all entries share.
func NewKeyring(secret []byte) *Keyring {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("bramleyrock idempotency key"))
	return &Keyring{secret: m.Sum(nil)}
}

// Issue returns the text of a key for the organisation.
func (r *Keyring) Issue(s KeySpec, organisation string) string {
	parts := []string{keyPrefix, s.Issuer, s.Incarnation, strconv.FormatInt(s.Expires.UnixMilli(), 36), s.Nonce}
	body := strings.Join(parts, separator)
	return body + separator + r.mac(body, organisation)
}

// HasKeyFormat reports whether text has the form of an issued key.
func HasKeyFormat(text string) bool { return strings.HasPrefix(text, keyPrefix+separator) }

// Verify returns the key with that text, or an error if it was not issued by
// an entry for the organisation.
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
		return Key{}, fmt.Errorf("idempotency key has a malformed expiry: %w", err)
	}
	return Key{issuer: parts[1], incarnation: parts[2], expires: time.UnixMilli(millis)}, nil
}

// mac returns the message authentication code of a key's body.
func (r *Keyring) mac(body, organisation string) string {
	m := hmac.New(sha256.New, r.secret)
	m.Write([]byte(organisation))
	m.Write([]byte{0})
	m.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:macBytes])
}
