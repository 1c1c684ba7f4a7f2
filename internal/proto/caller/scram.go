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

// codeInvalidPassword is SQLSTATE invalid_password.
const codeInvalidPassword = "28P01"

func readFull(r io.Reader, b []byte) (int, error) { return io.ReadFull(r, b) }

// deniedError returns the same error for an unknown account and a wrong key, so that it
// does not reveal which accounts exist.
func deniedError(user string) error {
	return outcome.Refuse(outcome.ReasonDenied, codeInvalidPassword, "authentication of client account %q failed", user)
}

// Authenticate runs the SCRAM exchange, in which the caller proves that it has the key
// of the stored verifier. With an empty verifier, for an unknown account, it runs the
// same exchange and then refuses. An error is a refusal, which is an *outcome.NotRun,
// or one of pgwire.ReadMessage or Write.
func (c *Conn) Authenticate(user, storedVerifier string) error {
	credentials, err := verifier.Parse(storedVerifier)
	known := err == nil
	if !known {
		credentials = decoyCredentials(user)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	if err := c.Write(mustEncode(nil, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})); err != nil {
		return err
	}
	clientFirst, err := c.readInitialResponse()
	if err != nil {
		return err
	}
	serverFirst, err := conversation.Step(clientFirst)
	if err != nil {
		return deniedError(user)
	}
	if err := c.Write(mustEncode(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(serverFirst)})); err != nil {
		return err
	}
	clientFinal, err := c.readAuthBody()
	if err != nil {
		return err
	}
	serverFinal, err := conversation.Step(string(clientFinal))
	if err != nil || !conversation.Valid() || !known {
		return deniedError(user)
	}
	return c.Write(mustEncode(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)}))
}

func (c *Conn) readInitialResponse() (string, error) {
	body, err := c.readAuthBody()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", protocolError(err)
	}
	if m.AuthMechanism != mechanism {
		return "", outcome.Refuse(outcome.ReasonDenied, codeInvalidPassword, "authentication mechanism %q is not offered", m.AuthMechanism)
	}
	return string(m.Data), nil
}

func (c *Conn) readAuthBody() ([]byte, error) {
	_, m, err := pgwire.ReadMessage(c.reader, nil, maxAuthMessage)
	if err != nil {
		return nil, err
	}
	if m.Type() != 'p' {
		return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "message %q instead of a password", m.Type())
	}
	return m.Body(), nil
}

// decoyCredentials returns the credentials for the SCRAM exchange with an unknown
// account. The salt depends on the user name only, so it is the same at each attempt, as
// the salt of a known account is.
func decoyCredentials(user string) scram.StoredCredentials {
	salt := user + strings.Repeat("\x00", verifier.SaltSize)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: salt[:verifier.SaltSize], Iters: verifier.Iterations},
		StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
	}
}
