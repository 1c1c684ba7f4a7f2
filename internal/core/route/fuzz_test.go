package route

import (
	"net/url"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzParse checks that Parse does not panic and that no field is longer than
// MaxFieldBytes.
func FuzzParse(f *testing.F) {
	f.Add("SELECT 1 /*route='box'*/")
	f.Add("/*route='%zz',session=''*/")
	f.Add("/*/")
	f.Fuzz(func(t *testing.T, sql string) {
		h := Parse(sql)
		for _, v := range []string{h.Route, h.Session, h.Key, h.Parent, h.Token} {
			if len(v) > MaxFieldBytes {
				t.Errorf("a field has %d bytes", len(v))
			}
		}
	})
}

// FuzzRoundTrip checks that Parse decodes an encoded route name.
func FuzzRoundTrip(f *testing.F) {
	f.Add("box")
	f.Add("it's 50% */ off, /* \x00")
	f.Fuzz(func(t *testing.T, name string) {
		if len(name) > MaxFieldBytes {
			return
		}
		// QueryEscape encodes a space as +, which Parse does not decode.
		got := Parse("SELECT 1 /*route='" + strings.ReplaceAll(url.QueryEscape(name), "+", "%20") + "'*/")
		if diff := cmp.Diff(name, got.Route); diff != "" {
			t.Errorf("route (-want +got):\n%s", diff)
		}
	})
}
