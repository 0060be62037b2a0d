package route

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"

	"github.com/google/uuid"
)

// maxKeys is the maximum number of keys issued per call.
const maxKeys = 1000

// IssueKeys implements [rock.KeyIssuer]. This entry becomes the owner of the
// keys, so an entry that is draining issues none.
func (e *Engine) IssueKeys(now time.Time, organisation string, count int) ([]string, time.Time, error) {
	refusal := rock.Fail("issue", "idempotency keys", rock.BadInput, rock.NotRun)
	if count < 1 || count > maxKeys {
		return nil, time.Time{}, refusal.Becausef("count %d: want 1 to %d", count, maxKeys)
	}
	if err := e.beginRequest(); err != nil {
		return nil, time.Time{}, err
	}
	defer e.endRequest()
	expires := now.Add(e.settings.Limits.KeyLifetime).Truncate(time.Millisecond)
	m := e.settings.Member
	keys := make([]string, count)
	for i := range keys {
		keys[i] = e.keyring.Issue(claim.KeySpec{Issuer: m.Name(), Incarnation: m.Incarnation(), Expires: expires, Nonce: uuid.NewString()}, organisation)
	}
	return keys, expires, nil
}
