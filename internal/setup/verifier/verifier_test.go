package verifier

import (
	"encoding/base64"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const saltText = "0123456789abcdef"

// FuzzParse checks that an accepted verifier has keys of 32 bytes, a salt, and a number
// of iterations within the bounds.
func FuzzParse(f *testing.F) {
	known, err := New("jelly", []byte(saltText))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(known)
	f.Add("SCRAM-SHA-256$4096:$:")
	f.Add("md5abc")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		if err != nil {
			return
		}
		if len(c.StoredKey) != 32 || len(c.ServerKey) != 32 || c.Iters < Iterations || len(c.Salt) == 0 {
			t.Errorf("accepted %q with keys of %d and %d bytes, a salt of %d and %d iterations", text, len(c.StoredKey), len(c.ServerKey), len(c.Salt), c.Iters)
		}
		if c.Iters > maxIterations {
			t.Errorf("accepted %d iterations", c.Iters)
		}
	})
}

// TestNew checks that Parse returns the salt that New was given.
func TestNew(t *testing.T) {
	text, err := New("jelly", []byte(saltText))
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(base64.StdEncoding.EncodeToString([]byte(saltText)), base64.StdEncoding.EncodeToString([]byte(c.Salt))); diff != "" {
		t.Errorf("salt (-want +got):\n%s", diff)
	}
}
