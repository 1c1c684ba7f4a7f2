package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAddressOfServer guards against an address whose zone is read as settings of the driver.
func TestAddressOfServer(t *testing.T) {
	c, err := connConfig(Options{Address: "[fe80::1%a target_session_attrs=read-only sslmode=require]:5432", User: "proxy", Database: "orders", ApplicationName: "a b'\\"})
	if err != nil {
		t.Fatal(err)
	}
	got := []any{c.Host, c.Port, c.ValidateConnect == nil, c.TLSConfig == nil, len(c.Fallbacks), c.RuntimeParams["application_name"]}
	want := []any{"fe80::1%a target_session_attrs=read-only sslmode=require", uint16(5432), true, true, 0, "a b'\\"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
}
