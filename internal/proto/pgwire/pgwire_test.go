package pgwire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fuzzLimit is the limit on the size of a message in FuzzReadMessage, in bytes.
const fuzzLimit = 1 << 16

// FuzzReadMessage checks that the messages read are a prefix of the input, that none
// is over the limit, that SplitMessage returns the same messages, that HasMessage reports
// each of them, and that the buffer has its old length after an error.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dSELECT 1\x00S\x00\x00\x00\x04"))
	f.Add([]byte("Q\x00\x00\x00\x03"))
	f.Add([]byte("Q\xff\xff\xff\xff"))
	f.Add([]byte("Q\x00\x00"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// Peek fills the reader's buffer, because HasMessage sees only what is in it. An
		// input of 2*fuzzLimit bytes or more may not fit.
		r := bufio.NewReaderSize(bytes.NewReader(raw), 2*fuzzLimit)
		_, _ = r.Peek(len(raw))
		var buf []byte
		rest := raw
		for {
			buffered := HasMessage(r)
			start := len(buf)
			grown, m, err := ReadMessage(r, buf, fuzzLimit)
			if err != nil {
				if len(grown) != start {
					t.Fatalf("the buffer grew by %d bytes with error %v", len(grown)-start, err)
				}
				break
			}
			if len(raw) < 2*fuzzLimit && !buffered {
				t.Fatal("HasMessage missed a whole message in the buffer")
			}
			if len(m) > fuzzLimit {
				t.Fatalf("a message of %d bytes is over the limit", len(m))
			}
			var next Message
			next, rest = SplitMessage(rest)
			if diff := cmp.Diff([]byte(m), []byte(next)); diff != "" {
				t.Fatalf("ReadMessage and SplitMessage differ (-ReadMessage +SplitMessage):\n%s", diff)
			}
			buf = grown
		}
		if !bytes.HasPrefix(raw, buf) {
			t.Error("the messages read are not a prefix of the input")
		}
	})
}

// TestReadLargeMessage checks that a message of 5 MB is read whole and appended to the
// buffer, and that a large length word with a truncated body allocates little memory.
func TestReadLargeMessage(t *testing.T) {
	const size = 5 << 20
	raw := append([]byte{'Q', 0, 0x50, 0, 4}, bytes.Repeat([]byte("0123456789abcdef"), size/16)...)
	got, m, err := ReadMessage(bufio.NewReader(bytes.NewReader(raw)), []byte("before"), 2*size)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(m, raw) || !bytes.HasPrefix(got, []byte("beforeQ")) {
		t.Error("the message read differs from the input")
	}
	got, _, err = ReadMessage(bufio.NewReader(bytes.NewReader(raw[:100])), nil, 2*size)
	if err == nil || cap(got) > 2*initialReadSize {
		t.Errorf("error %v with a buffer of %d bytes", err, cap(got))
	}
}
