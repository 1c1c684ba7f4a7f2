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

// tokenHashPrefix begins the stored form of a token. One round of the hash is enough
// because a token is random; it cannot be guessed as a password can.
const tokenHashPrefix = "SHA-256$"

// NewToken makes a random token.
func NewToken() string {
	b := make([]byte, TokenSize)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// HashToken returns the stored form of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return tokenHashPrefix + hex.EncodeToString(sum[:])
}

// IsTokenHash reports whether a text has the stored form of a token.
func IsTokenHash(hash string) bool {
	text, ok := strings.CutPrefix(hash, tokenHashPrefix)
	b, err := hex.DecodeString(text)
	return ok && err == nil && len(b) == sha256.Size && text == strings.ToLower(text)
}

// MatchToken reports whether a token has the stored form, in constant time.
func MatchToken(token, hash string) bool {
	return token != "" && subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}
