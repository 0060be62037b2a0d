package link

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
)

// requestForm is a request on the wire. Its deadline is that of the call.
type requestForm struct {
	ID           string          `cbor:"1,keyasint"`
	Organisation string          `cbor:"2,keyasint"`
	Pool         string          `cbor:"3,keyasint"`
	Class        rock.Class      `cbor:"4,keyasint"`
	Idempotent   bool            `cbor:"5,keyasint,omitempty"`
	Key          string          `cbor:"6,keyasint,omitempty"`
	Hops         int             `cbor:"7,keyasint,omitempty"`
	Payload      json.RawMessage `cbor:"8,keyasint,omitempty"`
}

func formOfRequest(r rock.Request) requestForm {
	return requestForm{r.ID(), r.Organisation(), r.Pool(), r.Class(), r.Idempotent(), r.IdempotencyKey(), r.Hops(), r.Payload()}
}

func (f *requestForm) request(deadline time.Time) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID:             f.ID,
		Organisation:   f.Organisation,
		Pool:           f.Pool,
		Class:          f.Class,
		Idempotent:     f.Idempotent,
		IdempotencyKey: f.Key,
		Deadline:       deadline,
		Hops:           f.Hops,
		Payload:        f.Payload,
	})
}

// resumeForm names a forwarded request by the id of its call.
type resumeForm struct {
	ID uint64 `cbor:"1,keyasint"`
}

// answerForm is an answer on the wire.
type answerForm struct {
	RequestID string          `cbor:"1,keyasint"`
	Host      string          `cbor:"2,keyasint"`
	Payload   json.RawMessage `cbor:"3,keyasint,omitempty"`
}

func formOfAnswer(a rock.Answer) answerForm {
	return answerForm{a.RequestID(), a.Host(), a.Payload()}
}

func (f *answerForm) answer() rock.Answer { return rock.NewAnswer(f.RequestID, f.Host, f.Payload) }
