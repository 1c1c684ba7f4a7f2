package control

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
)

// diffCommand compares the last version of a section with a file. It fails with
// shell.ExitFailed if they differ.
type diffCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
	global *globalOptions
}

// sectionDiff holds the lines that differ between the last version of a section and a
// file.
type sectionDiff struct {
	Section string   `json:"section"`
	Version uint64   `json:"version"`
	Lines   []string `json:"lines"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	s, err := c.global.readSection(c.Args.Name)
	if err != nil {
		return err
	}
	d := sectionDiff{Section: s.Name, Version: s.Version, Lines: diffLines(s.Text, string(text))}
	err = c.global.printResult(d, func() {
		for _, l := range d.Lines {
			c.global.printf("%s", l)
		}
	})
	if err == nil && len(d.Lines) > 0 {
		return &shell.ExitError{Code: shell.ExitFailed, Cause: errors.Errorf("section %s of version %d and %s differ", s.Name, s.Version, c.Args.File)}
	}
	return err
}

// diffLines returns a line diff of two texts: the lines only in before, prefixed with
// "-", and the lines only in after, prefixed with "+", in order.
func diffLines(before, after string) []string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	if len(a)*len(b) > maxCells {
		return append(prefixLines("-", a), prefixLines("+", b)...)
	}
	lengths := lcsLengths(a, b)
	var out []string
	for len(a) > 0 || len(b) > 0 {
		// lengths[i][j] is for the rest of a and b. Of two lines that differ, the one
		// whose removal leaves the longer common subsequence goes first.
		i, j := len(lengths)-1-len(a), len(lengths[0])-1-len(b)
		switch {
		case len(a) > 0 && len(b) > 0 && a[0] == b[0]:
			a, b = a[1:], b[1:]
		case len(b) == 0 || len(a) > 0 && lengths[i+1][j] >= lengths[i][j+1]:
			out = append(out, "-"+a[0])
			a = a[1:]
		default:
			out = append(out, "+"+b[0])
			b = b[1:]
		}
	}
	return out
}

// maxCells bounds the cells of the table of lcsLengths, one per pair of lines. Above it,
// all lines of the changed part are shown as removed and added.
const maxCells = 4 << 20

func prefixLines(sign string, lines []string) []string {
	out := make([]string, 0, len(lines))
	for _, l := range lines {
		out = append(out, sign+l)
	}
	return out
}

// lcsLengths returns a table that holds at [i][j] the length of the longest common
// subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	lengths[len(a)] = make([]int, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		lengths[i] = make([]int, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
