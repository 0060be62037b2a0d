package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	rock "bramleyrock"
)

// The sizes of handshake parts in bytes.
const (
	nonceBytes        = 32
	maxHandshakeBytes = 4096
)

// The roles keep one side's proof from being played back as the other's.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

var errWrongSecret = errors.New("the other side does not know the shared secret")

// memberForm is an identity on the wire.
type memberForm struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
}

func formOfMember(m rock.Member) memberForm {
	return memberForm{m.Name(), m.Zone(), m.Address(), m.Incarnation()}
}

func (f memberForm) member() rock.Member {
	return rock.NewMember(f.Name, f.Zone, f.Address, f.Incarnation)
}

// challengeForm opens the handshake; the acceptor sends it.
type challengeForm struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// proofForm carries an identity and the proof that its sender knows the
// secret. The dialer sends it with a nonce of its own.
type proofForm struct {
	Member memberForm `cbor:"1,keyasint"`
	Nonce  []byte     `cbor:"2,keyasint,omitempty"`
	Proof  []byte     `cbor:"3,keyasint"`
	// Link is sent by the dialler.
	Link linkForm `cbor:"4,keyasint"`
}

// linkForm names the link that a connection carries, as the dialler knows it.
// A later connection of the same link replaces an earlier one.
type linkForm struct {
	Name string `cbor:"1,keyasint"`
	// LastID is the greatest id given to a call over an earlier connection.
	LastID uint64 `cbor:"2,keyasint"`
}

// greetAsDialer proves the own identity and returns the acceptor's.
func greetAsDialer(ctx context.Context, ws *websocket.Conn, self rock.Member, secret string, link linkForm) (rock.Member, error) {
	var challenge challengeForm
	if err := readForm(ctx, ws, &challenge); err != nil {
		return rock.Member{}, err
	}
	nonce := newNonce()
	own := proofForm{Member: formOfMember(self), Nonce: nonce, Link: link}
	own.Proof = prove(secret, roleDialer, own.Member, challenge.Nonce, nonce)
	if err := writeForm(ctx, ws, own); err != nil {
		return rock.Member{}, err
	}
	var other proofForm
	if err := readForm(ctx, ws, &other); err != nil {
		return rock.Member{}, err
	}
	want := prove(secret, roleAcceptor, other.Member, challenge.Nonce, nonce)
	if !hmac.Equal(want, other.Proof) {
		return rock.Member{}, errWrongSecret
	}
	return other.Member.member(), nil
}

// greetAsAcceptor checks the dialer's identity, proves the own one and returns
// the dialer's and its link.
func greetAsAcceptor(ctx context.Context, ws *websocket.Conn, self rock.Member, secret string) (rock.Member, linkForm, error) {
	nonce := newNonce()
	if err := writeForm(ctx, ws, challengeForm{Nonce: nonce}); err != nil {
		return rock.Member{}, linkForm{}, err
	}
	var other proofForm
	if err := readForm(ctx, ws, &other); err != nil {
		return rock.Member{}, linkForm{}, err
	}
	want := prove(secret, roleDialer, other.Member, nonce, other.Nonce)
	if len(other.Nonce) != nonceBytes || !hmac.Equal(want, other.Proof) {
		return rock.Member{}, linkForm{}, errWrongSecret
	}
	own := proofForm{Member: formOfMember(self)}
	own.Proof = prove(secret, roleAcceptor, own.Member, nonce, other.Nonce)
	return other.Member.member(), other.Link, writeForm(ctx, ws, own)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}

func prove(secret, role string, m memberForm, acceptorNonce, dialerNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, part := range [][]byte{[]byte(role), acceptorNonce, dialerNonce, []byte(m.Name), []byte(m.Zone), []byte(m.Address), []byte(m.Incarnation)} {
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

func readForm(ctx context.Context, ws *websocket.Conn, form any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return fmt.Errorf("read handshake: %w", err)
	}
	if err := decoder.Unmarshal(data, form); err != nil {
		return fmt.Errorf("decode handshake: %w", err)
	}
	return nil
}

func writeForm(ctx context.Context, ws *websocket.Conn, form any) error {
	data, err := encoder.Marshal(form)
	if err != nil {
		return fmt.Errorf("encode handshake: %w", err)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write handshake: %w", err)
	}
	return nil
}
