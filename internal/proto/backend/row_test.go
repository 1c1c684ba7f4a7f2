package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// FuzzParseTextRow checks that parseTextRow accepts each body that pgproto3 accepts,
// with the same values.
func FuzzParseTextRow(f *testing.F) {
	for _, values := range [][][]byte{nil, {nil}, {[]byte("plum"), nil, {}, []byte("7")}} {
		raw, err := (&pgproto3.DataRow{Values: values}).Encode(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw[pgwire.HeaderSize:])
		f.Add(raw[pgwire.HeaderSize : len(raw)-1])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var d pgproto3.DataRow
		wantErr := d.Decode(body)
		got, err := parseTextRow(append(make(pgwire.Message, pgwire.HeaderSize), body...))
		if err != nil {
			if wantErr == nil {
				t.Fatal(err)
			}
			return
		}
		if wantErr != nil {
			return
		}
		want := make([]string, len(d.Values))
		for i, v := range d.Values {
			want[i] = string(v)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("values (-want +got):\n%s", diff)
		}
	})
}
