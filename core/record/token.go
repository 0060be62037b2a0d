package record

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	rock "bramleyrock"
)

// digestPrefix is the prefix of the digest of a token.
const digestPrefix = "sha256:"

// Token is a bearer token of an organisation: the name of its holder, the digest of
// its secret, and the holder's role.
type Token struct {
	name   string
	digest string
	role   rock.Role
	extra  Extra
}

// NewToken returns a token. The digest is the result of [Digest].
func NewToken(name, digest string, role rock.Role) Token {
	return Token{name: name, digest: digest, role: role}
}

// Digest returns the digest of a secret as stored in records: "sha256:" and 64
// lowercase hexadecimal digits.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// ValidDigest reports whether s has the form of a result of [Digest].
func ValidDigest(s string) bool {
	digits, ok := strings.CutPrefix(s, digestPrefix)
	if !ok || len(digits) != hex.EncodedLen(sha256.Size) || strings.ToLower(digits) != digits {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil
}

// Name returns the holder's name, unique within the organisation.
func (t Token) Name() string { return t.name }

// Digest returns the digest of the secret.
func (t Token) Digest() string { return t.digest }

// Role returns the role, which determines what the holder may do.
func (t Token) Role() rock.Role { return t.role }

// tokenFields are the fields of a token.
var tokenFields = []string{"name", "digest", "role"}

// decodeToken decodes a token; f collects the invalid fields.
func decodeToken(f *fields) Token {
	t := Token{name: f.name("name", "the holder's name", true)}
	t.digest = f.text("digest")
	if !ValidDigest(t.digest) {
		// The error does not contain the value, which may be the secret itself.
		f.errors = append(f.errors, "field "+f.prefix+"digest: want sha256: and 64 lowercase hexadecimal digits")
	}
	t.role = oneOf(f, "role", rock.CallerRole, rock.OperatorRole, rock.ReaderRole)
	t.extra = f.extra()
	return t
}
