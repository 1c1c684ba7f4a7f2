package statement

import (
	"crypto/sha256"
	"encoding/hex"
)

// digestSize is the length of a digest, in bytes.
const digestSize = 8

// Digest returns the beginning of the SHA-256 hash of a text, in hex. Logs identify texts of
// clients by it.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestSize])
}

// Kind returns what the shape does, as logs name it.
func (s Shape) Kind() string {
	if s.IsWrite {
		return "write"
	}
	return "read"
}
