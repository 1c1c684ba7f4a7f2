// Package pgwire splits the PostgreSQL protocol 3 stream into messages without
// decoding them, so that rows pass through the proxy unchanged. Messages that the
// proxy has to interpret are decoded with pgproto3.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// HeaderSize is the length of a message's type byte and length word.
const HeaderSize = 5

// Message is one whole message: type byte, length word and body.
type Message []byte

// Type returns the type byte.
func (m Message) Type() byte { return m[0] }

// Body returns the message without its header.
func (m Message) Body() []byte { return m[HeaderSize:] }

// SizeError reports a message over the limit; both sizes are in bytes of the whole
// message.
type SizeError struct {
	Type  byte
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message %q of %d bytes is over the limit of %d", e.Type, e.Size, e.Limit)
}

// LengthError reports a length word below 4, the size of the length word itself.
type LengthError struct {
	Type   byte
	Length uint32
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("message %q has the impossible length %d", e.Type, e.Length)
}

// ReadMessage reads one message from r and appends it to buf. It returns the extended
// buffer and the message, which shares its memory. The limit is in bytes of the
// whole message. After an error, which is a SizeError, a LengthError or one of r,
// the buffer returned has its old length.
func ReadMessage(r *bufio.Reader, buf []byte, limit int) ([]byte, Message, error) {
	header, err := r.Peek(HeaderSize)
	if err != nil {
		return buf, nil, headerError(header, err)
	}
	kind, length := header[0], binary.BigEndian.Uint32(header[1:])
	if length < 4 {
		return buf, nil, &LengthError{Type: kind, Length: length}
	}
	if int64(length)+1 > int64(limit) {
		return buf, nil, &SizeError{Type: kind, Size: int(length) + 1, Limit: limit}
	}
	start, size := len(buf), int(length)+1
	for received := 0; received < size; received = len(buf) - start {
		end := len(buf)
		buf = grow(buf, min(size-received, max(received, initialReadSize)))
		if _, err := io.ReadFull(r, buf[end:]); err != nil {
			return buf[:start], nil, err
		}
	}
	return buf, Message(buf[start:]), nil
}

// initialReadSize is the most memory in bytes that is allocated for a message before any
// of its bytes are read. The allocation then doubles with the bytes read, so that a
// large length word alone does not allocate much memory.
const initialReadSize = 64 << 10

// HasMessage reports whether a whole message is in the buffer of r, so that
// ReadMessage will not block.
func HasMessage(r *bufio.Reader) bool {
	if r.Buffered() < HeaderSize {
		return false
	}
	header, err := r.Peek(HeaderSize)
	// The length word does not count the type byte.
	return err == nil && int64(r.Buffered()) > int64(binary.BigEndian.Uint32(header[1:]))
}

// headerError turns the end of the stream within a header into io.ErrUnexpectedEOF.
func headerError(header []byte, err error) error {
	if err == io.EOF && len(header) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow extends buf by size bytes. When it has to reallocate, it adds spare capacity for
// as many bytes as buf holds, so that repeated calls copy each byte only a few times.
func grow(buf []byte, size int) []byte {
	if cap(buf)-len(buf) >= size {
		return buf[:len(buf)+size]
	}
	out := make([]byte, len(buf)+size, 2*len(buf)+size)
	copy(out, buf)
	return out
}

// SplitMessage returns the first message of a buffer of whole messages, and the
// rest. It returns nil when the buffer is empty or does not begin with a whole
// message.
func SplitMessage(buf []byte) (Message, []byte) {
	if len(buf) < HeaderSize {
		return nil, nil
	}
	size := int64(binary.BigEndian.Uint32(buf[1:])) + 1
	if size < HeaderSize || size > int64(len(buf)) {
		return nil, nil
	}
	return Message(buf[:size:size]), buf[size:]
}
