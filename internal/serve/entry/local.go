package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
)

// answerLocally builds the answer to a batch whose one statement the proxy
// itself has carried out.
func (b *batch) answerLocally(tag string, status byte) []byte {
	var out []byte
	for _, kind := range b.kinds {
		switch kind {
		case 'P':
			out = encode(out, &pgproto3.ParseComplete{})
		case 'B':
			out = encode(out, &pgproto3.BindComplete{})
		case 'C':
			out = encode(out, &pgproto3.CloseComplete{})
		case 'D':
			out = encode(out, &pgproto3.NoData{})
		case 'E', 'Q':
			out = append(out, caller.Complete(tag)...)
		}
	}
	if b.end == 'H' {
		return out
	}
	return append(out, caller.Ready(status)...)
}

func encode(buf []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		panic(err)
	}
	return out
}

// patience is how long the session waits for the next message: without end
// between transactions, for a bounded time within a batch or a transaction.
func (s *session) patience(*batch) clock.Millis { return s.entry.options.Silence }
