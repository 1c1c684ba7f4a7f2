package caller

import (
	"encoding/base64"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

const mechanism = "SCRAM-SHA-256"

// iterations of the key derivation for new verifiers.
const iterations = 4096

// maxIterations bounds what a verifier may make callers compute.
const maxIterations = 1 << 20

const saltSize = 16

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
func (c *Conn) Authenticate(user, verifier string) error {
	credentials, err := ParseVerifier(verifier)
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
		return nil, outcome.Refuse(outcome.ReasonRequest, outcome.CodeProtocol, "message %q instead of a password", m.Type())
	}
	return m.Body(), nil
}

func decoy(user string) scram.StoredCredentials {
	salt := user + strings.Repeat("\x00", saltSize)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: salt[:saltSize], Iters: iterations},
		StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
	}
}

// VerifierError reports a text that is no verifier.
type VerifierError struct{ Detail string }

// Error implements error.
func (e *VerifierError) Error() string { return "verifier: " + e.Detail }

// ParseVerifier reads the form SCRAM-SHA-256$iterations:salt$stored:server that
// PostgreSQL keeps.
func ParseVerifier(text string) (scram.StoredCredentials, error) {
	var out scram.StoredCredentials
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != 5 || parts[0] != mechanism {
		return out, &VerifierError{Detail: "not of the form SCRAM-SHA-256$iterations:salt$stored:server"}
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < iterations || n > maxIterations {
		return out, &VerifierError{Detail: "needs 4096 to 1048576 iterations"}
	}
	var fields [3][]byte
	for i := range fields {
		fields[i], err = base64.StdEncoding.DecodeString(parts[2+i])
		if err != nil {
			return out, &VerifierError{Detail: "salt and keys must be base64"}
		}
	}
	if len(fields[1]) != 32 || len(fields[2]) != 32 {
		return out, &VerifierError{Detail: "keys must have 32 bytes"}
	}
	out.KeyFactors = scram.KeyFactors{Salt: string(fields[0]), Iters: n}
	out.StoredKey, out.ServerKey = fields[1], fields[2]
	return out, nil
}

// NewVerifier makes the verifier of a key with the given salt of 16 bytes.
func NewVerifier(key string, salt []byte) (string, error) {
	if len(salt) != saltSize {
		return "", &VerifierError{Detail: "salt must have 16 bytes"}
	}
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return "", errors.Wrap(err, "verifier")
	}
	s, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return mechanism + "$" + strconv.Itoa(iterations) + ":" + encode(salt) + "$" + encode(s.StoredKey) + ":" + encode(s.ServerKey), nil
}
