package page

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestLinks checks that every link from a page to another file has a target.
func TestLinks(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	pages := 0
	err := filepath.WalkDir("../../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		pages++
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if pages == 0 {
		t.Error("no page found")
	}
}
