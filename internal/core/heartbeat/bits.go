package heartbeat

import (
	"math/big"
	"math/bits"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Bits is a set of members by their place in a member set. Members are named
// one by one, since while views of the relay tree differ one member may be
// counted by two relays. The first Base*8 places are left out of Bytes, so that
// the members of one zone, which stand together, take little space.
type Bits struct {
	_     struct{} `cbor:",toarray"`
	Base  int      `cbor:"base"`
	Bytes []byte   `cbor:"bytes"`
}

// maxBase bounds the places that a message may name.
const maxBase = 1 << 16

func newBits(set []member.VM, name string) Bits {
	for i, v := range set {
		if v.Name == name {
			return Bits{Base: i / 8, Bytes: []byte{1 << (i % 8)}}
		}
	}
	return Bits{}
}

// number returns the set as a number with one bit for each place.
func (b Bits) number() *big.Int {
	if b.Base < 0 || b.Base > maxBase || len(b.Bytes) > maxBase {
		return new(big.Int)
	}
	text := make([]byte, len(b.Bytes))
	for i, c := range b.Bytes {
		text[len(text)-1-i] = c
	}
	n := new(big.Int).SetBytes(text)
	return n.Lsh(n, uint(b.Base)*8)
}

// or returns the members in either set.
func (b Bits) or(o Bits) Bits {
	n := b.number()
	n.Or(n, o.number())
	base := int(n.TrailingZeroBits()) / 8
	text := n.Rsh(n, uint(base)*8).Bytes()
	out := make([]byte, len(text))
	for i, c := range text {
		out[len(text)-1-i] = c
	}
	return Bits{Base: base, Bytes: out}
}

// count returns the number of members in the set.
func (b Bits) count() int {
	n := 0
	for _, c := range b.Bytes {
		n += bits.OnesCount8(c)
	}
	return n
}

// has reports whether the member at place i is in the set.
func (b Bits) has(i int) bool {
	at := i/8 - b.Base
	return at >= 0 && at < len(b.Bytes) && b.Bytes[at]&(1<<(i%8)) != 0
}
