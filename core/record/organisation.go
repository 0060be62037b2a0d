package record

import (
	"encoding/json"
	"fmt"
	"slices"

	rock "bramleyrock"
)

// maxQuota is the maximum quota of an organisation.
const maxQuota = 1_000_000

// Organisation is the content of an organisation's record.
type Organisation struct {
	quota  int
	tokens []Token
	extra  Extra
}

// NewOrganisation returns an organisation with a limit of quota requests and jobs
// in flight at each entry; 0 means no limit.
func NewOrganisation(quota int, tokens ...Token) Organisation {
	return Organisation{quota: quota, tokens: slices.Clone(tokens)}
}

// Quota returns the maximum number of requests and jobs in flight at each entry; 0
// means no limit.
func (o Organisation) Quota() int { return o.quota }

// Tokens returns the organisation's tokens. The caller must not change them.
func (o Organisation) Tokens() []Token { return o.tokens }

// Extra returns the unknown fields.
func (o Organisation) Extra() Extra { return o.extra }

// Kind implements [Body].
func (o Organisation) Kind() rock.Kind { return rock.KindOrganisation }

// Encode implements [Body].
func (o Organisation) Encode(int) (json.RawMessage, error) {
	tokens := make([]json.RawMessage, 0, len(o.tokens))
	for _, t := range o.tokens {
		data, err := object{"name": t.name, "digest": t.digest, "role": t.role}.encode(t.extra, tokenFields)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, data)
	}
	return object{"quota": o.quota, "tokens": tokens}.encode(o.extra, []string{"quota", "tokens"})
}

// decodeOrganisation decodes an organisation; f collects the invalid fields.
func decodeOrganisation(f *fields) Organisation {
	o := Organisation{quota: int(f.count("quota", 0, maxQuota, false))}
	names := map[string]bool{}
	for i, data := range f.list("tokens") {
		sub, err := readFields(fmt.Sprintf("tokens[%d].", i), data)
		if err != nil {
			f.errors = append(f.errors, err.Error())
			continue
		}
		t := decodeToken(sub)
		if names[t.name] {
			sub.addInvalid("name", []byte(t.name), "a name that no other token of the organisation has")
		}
		names[t.name] = true
		f.addErrors(sub)
		o.tokens = append(o.tokens, t)
	}
	o.extra = f.extra()
	return o
}
