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

// tokenPrefix begins the stored form of a token. One round of the hash is enough
// because a token is random; it cannot be guessed as a password can.
const tokenPrefix = "SHA-256$"

// NewToken makes a random token.
func NewToken() string {
	b := make([]byte, TokenSize)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// OfToken returns the stored form of a token.
func OfToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return tokenPrefix + hex.EncodeToString(sum[:])
}

// IsToken reports whether a text has the stored form of a token.
func IsToken(stored string) bool {
	text, ok := strings.CutPrefix(stored, tokenPrefix)
	b, err := hex.DecodeString(text)
	return ok && err == nil && len(b) == sha256.Size && text == strings.ToLower(text)
}

// MatchToken reports whether a token has the stored form, in constant time.
func MatchToken(token, stored string) bool {
	return token != "" && subtle.ConstantTimeCompare([]byte(OfToken(token)), []byte(stored)) == 1
}
