// Package verifier reads and makes what the configuration keeps of a key: a
// SCRAM-SHA-256 verifier, from which the key cannot be found.
package verifier

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of the only mechanism.
const Mechanism = "SCRAM-SHA-256"

// Iterations of the key derivation for new verifiers, and the least allowed.
const Iterations = 4096

// maxIterations bounds what a verifier may make callers compute.
const maxIterations = 1 << 20

// SaltSize is the length of the salt of a new verifier in bytes.
const SaltSize = 16

// Error reports a text that is no verifier.
type Error struct{ Detail string }

// Error implements error.
func (e *Error) Error() string { return "verifier: " + e.Detail }

// Parse reads the form SCRAM-SHA-256$iterations:salt$stored:server that
// PostgreSQL keeps.
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
	var fields [3][]byte
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

// New makes the verifier of a key with the given salt of 16 bytes.
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
