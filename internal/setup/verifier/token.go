package verifier

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

// TokenSize is the number of random bytes of an operator's token.
const TokenSize = 32

// tokenHashPrefix is the prefix of a token hash. A single round of SHA-256 is enough:
// a token is random and cannot be guessed as a password can.
const tokenHashPrefix = "SHA-256$"

// NewToken returns a new random token in URL-safe base64.
func NewToken() string {
	b := make([]byte, TokenSize)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// HashToken returns the hash of a token in the form SHA-256$hash-in-hex, in which the
// configuration stores it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return tokenHashPrefix + hex.EncodeToString(sum[:])
}

// IsTokenHash reports whether a text has the form of HashToken's result.
func IsTokenHash(hash string) bool {
	text, ok := strings.CutPrefix(hash, tokenHashPrefix)
	b, err := hex.DecodeString(text)
	return ok && err == nil && len(b) == sha256.Size && text == strings.ToLower(text)
}

// MatchToken reports whether a token has the given hash. The comparison takes constant
// time. An empty token matches no hash.
func MatchToken(token, hash string) bool {
	return token != "" && subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}
