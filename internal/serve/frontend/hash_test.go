package frontend

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// TestHashOfDirectoryWithOddNames guards against directories that hash alike because of blanks in servers' texts.
func TestHashOfDirectoryWithOddNames(t *testing.T) {
	a := hashDirectory([]database.Server{{ID: "i", Group: "g Address:1", Address: "2"}})
	b := hashDirectory([]database.Server{{ID: "i", Group: "g", Address: "1 Address:2"}})
	if a == b {
		t.Error("two directories have one hash")
	}
}
