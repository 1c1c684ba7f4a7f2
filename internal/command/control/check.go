package control

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// checkCommand validates files of the configuration without contacting a VM.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Files SECTION.yaml or a folder of them"`
	} `positional-args:"yes"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	files, err := sectionFiles(c.Args.Files)
	if err != nil {
		return err
	}
	texts := map[string]string{}
	for section, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		texts[section] = string(text)
	}
	d, err := document.Parse(0, texts)
	var mistake *strict.Error
	if errors.As(err, &mistake) {
		// Parse reports the section's name as the file.
		mistake.File = files[mistake.File]
	}
	if err != nil {
		return err
	}
	counts := struct {
		Databases int `json:"databases"`
		Accounts  int `json:"accounts"`
		Routes    int `json:"routes"`
	}{len(d.Databases()), len(d.Accounts()), d.RouteCount()}
	return c.global.printResult(counts, func() {
		c.global.printf("good: %d databases, %d client accounts, %d routes", counts.Databases, counts.Accounts, counts.Routes)
	})
}

// sectionFiles maps the name of each section to its file. A path is a file or a folder,
// which stands for its *.yaml files. It fails for a file that is not named after a
// section.
func sectionFiles(paths []string) (map[string]string, error) {
	out := map[string]string{}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		files := []string{path}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.yaml")); err != nil {
				return nil, err
			}
		}
		for _, f := range files {
			section := strings.TrimSuffix(filepath.Base(f), ".yaml")
			if !slices.Contains(document.Sections(), section) {
				return nil, errors.Errorf("%s is not named after a section; there are %s", f, strings.Join(document.Sections(), ", "))
			}
			out[section] = f
		}
	}
	return out, nil
}
