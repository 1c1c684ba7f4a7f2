// Package verifier creates and parses what the configuration stores in place of
// secrets: SCRAM-SHA-256 verifiers of keys and hashes of operators' tokens. The secret
// cannot be derived from either.
package verifier

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of the only mechanism supported.
const Mechanism = "SCRAM-SHA-256"

// Iterations is the number of iterations of the key derivation in new verifiers, and
// the lowest number that Parse accepts.
const Iterations = 4096

// maxIterations bounds the work that a verifier can demand of callers.
const maxIterations = 1 << 20

// SaltSize is the length of the salt of a new verifier in bytes. Package caller gives
// unknown accounts a salt of the same length.
const SaltSize = 16

// Error is returned for an invalid verifier or salt.
type Error struct{ Detail string }

// Error implements error.
func (e *Error) Error() string { return "verifier: " + e.Detail }

// Parse parses a verifier of the form SCRAM-SHA-256$iterations:salt$stored:server, as
// PostgreSQL stores it. It returns an *Error for an invalid text.
func Parse(text string) (scram.StoredCredentials, error) {
	var out scram.StoredCredentials
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != 5 || parts[0] != Mechanism {
		return out, &Error{Detail: "not of the form SCRAM-SHA-256$iterations:salt$stored:server"}
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < Iterations || n > maxIterations {
		return out, &Error{Detail: fmt.Sprintf("needs %d to %d iterations", Iterations, maxIterations)}
	}
	var fields [3][]byte // salt, stored key, server key
	for i := range fields {
		fields[i], err = base64.StdEncoding.DecodeString(parts[2+i])
		if err != nil {
			return out, &Error{Detail: "salt and keys must be base64"}
		}
	}
	if len(fields[1]) != 32 || len(fields[2]) != 32 {
		return out, &Error{Detail: "keys must have 32 bytes"}
	}
	out.KeyFactors = scram.KeyFactors{Salt: string(fields[0]), Iters: n}
	out.StoredKey, out.ServerKey = fields[1], fields[2]
	return out, nil
}

// New returns the verifier of a key with the given salt, which must have 16 bytes (SaltSize).
func New(key string, salt []byte) (string, error) {
	if len(salt) != SaltSize {
		return "", &Error{Detail: "salt must have 16 bytes"}
	}
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return "", errors.Wrap(err, "verifier")
	}
	s, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: Iterations})
	if err != nil {
		return "", errors.Wrap(err, "verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return Mechanism + "$" + strconv.Itoa(Iterations) + ":" + encode(salt) + "$" + encode(s.StoredKey) + ":" + encode(s.ServerKey), nil
}
