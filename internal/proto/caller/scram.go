package caller

import (
	"io"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

const mechanism = verifier.Mechanism

// codePassword is invalid_password.
const codePassword = "28P01"

func readFull(r io.Reader, b []byte) (int, error) { return io.ReadFull(r, b) }

// errDenied is the same for an unknown account and a wrong key, so that a
// stranger learns nothing.
func errDenied(user string) error {
	return outcome.Refuse(outcome.ReasonDenied, codePassword, "authentication of client account %q failed", user)
}

// Authenticate has the caller prove that it knows the key of a verifier. An
// empty verifier runs the whole exchange and then refuses.
func (c *Conn) Authenticate(user, stored string) error {
	credentials, err := verifier.Parse(stored)
	known := err == nil
	if !known {
		credentials = decoy(user)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return err
	}
	talk := server.NewConversation()
	if err := c.Write(mustEncode(nil, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})); err != nil {
		return err
	}
	first, err := c.firstResponse()
	if err != nil {
		return err
	}
	challenge, err := talk.Step(first)
	if err != nil {
		return errDenied(user)
	}
	if err := c.Write(mustEncode(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})); err != nil {
		return err
	}
	body, err := c.authBody()
	if err != nil {
		return err
	}
	proof, err := talk.Step(string(body))
	if err != nil || !talk.Valid() || !known {
		return errDenied(user)
	}
	return c.Write(mustEncode(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(proof)}))
}

func (c *Conn) firstResponse() (string, error) {
	body, err := c.authBody()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", protocolError(err)
	}
	if m.AuthMechanism != mechanism {
		return "", outcome.Refuse(outcome.ReasonDenied, codePassword, "authentication mechanism %q is not offered", m.AuthMechanism)
	}
	return string(m.Data), nil
}

func (c *Conn) authBody() ([]byte, error) {
	_, m, err := pgwire.Append(c.reader, nil, maxAuth)
	if err != nil {
		return nil, err
	}
	if m.Type() != 'p' {
		return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "message %q instead of a password", m.Type())
	}
	return m.Body(), nil
}

func decoy(user string) scram.StoredCredentials {
	salt := user + strings.Repeat("\x00", verifier.SaltSize)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: salt[:verifier.SaltSize], Iters: verifier.Iterations},
		StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
	}
}
