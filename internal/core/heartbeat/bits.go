package heartbeat

import (
	"math/big"
	"math/bits"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Bitset is a set of members by their index in a member set. Each member has its own
// bit, rather than a count per relay, because while views of the relay tree differ
// one member may be counted by two relays. The first Offset*8 indexes are left out of
// Bytes, so that the members of one zone, which are adjacent in a member set, take
// little space.
type Bitset struct {
	_      struct{} `cbor:",toarray"`
	Offset int      `cbor:"base"`
	Bytes  []byte   `cbor:"bytes"`
}

// maxOffset bounds the offset and the length, both in bytes, of a set in a message, and
// thereby the memory for it.
const maxOffset = 1 << 16

// newBitset returns the set of the member called name alone, or an empty set if members
// does not contain it.
func newBitset(members []member.VM, name string) Bitset {
	for i, v := range members {
		if v.Name == name {
			return Bitset{Offset: i / 8, Bytes: []byte{1 << (i % 8)}}
		}
	}
	return Bitset{}
}

// bigInt returns the set as a number with one bit per index, or 0 if the set exceeds
// maxOffset.
func (b Bitset) bigInt() *big.Int {
	if b.Offset < 0 || b.Offset > maxOffset || len(b.Bytes) > maxOffset {
		return new(big.Int)
	}
	data := make([]byte, len(b.Bytes))
	for i, c := range b.Bytes {
		data[len(data)-1-i] = c
	}
	n := new(big.Int).SetBytes(data)
	return n.Lsh(n, uint(b.Offset)*8)
}

// union returns the members in either set.
func (b Bitset) union(o Bitset) Bitset {
	n := b.bigInt()
	n.Or(n, o.bigInt())
	offset := int(n.TrailingZeroBits()) / 8
	data := n.Rsh(n, uint(offset)*8).Bytes()
	out := make([]byte, len(data))
	for i, c := range data {
		out[len(data)-1-i] = c
	}
	return Bitset{Offset: offset, Bytes: out}
}

// count returns the number of members in the set.
func (b Bitset) count() int {
	n := 0
	for _, c := range b.Bytes {
		n += bits.OnesCount8(c)
	}
	return n
}

// has reports whether the member at index i is in the set.
func (b Bitset) has(i int) bool {
	byteIndex := i/8 - b.Offset
	return byteIndex >= 0 && byteIndex < len(b.Bytes) && b.Bytes[byteIndex]&(1<<(i%8)) != 0
}
