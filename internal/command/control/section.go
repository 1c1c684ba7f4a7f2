package control

import (
	"context"
	"crypto/rand"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// maxApplyAttempts bounds the number of times that an edit is sent if no answer arrives
// or the VM reports a failure. The request's ID is an idempotency key: a repeated edit
// does not create another version.
const maxApplyAttempts = 3

// applyRetryInterval is the pause between two attempts.
const applyRetryInterval = 200 * time.Millisecond

type sectionArgument struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes" description:"databases, accounts, routes or operators"`
	} `positional-args:"yes"`
}

type getCommand struct {
	sectionArgument
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	s, err := c.global.readSection(c.Args.Name)
	if err != nil {
		return err
	}
	return c.global.printResult(s, func() { _, _ = c.global.out.Write([]byte(s.Text)) })
}

// readSection reads the last version of one section.
func (g *globalOptions) readSection(name string) (operator.Section, error) {
	client, err := g.client()
	if err != nil {
		return operator.Section{}, err
	}
	return client.Section(context.Background(), name)
}

// readSections reads the last version of every section, so that an edit can be checked
// together with the other sections before it is sent.
func readSections(client *operator.Client) (map[string]operator.Section, error) {
	out := map[string]operator.Section{}
	for _, name := range document.Sections() {
		s, err := client.Section(context.Background(), name)
		if err != nil {
			return nil, err
		}
		out[name] = s
	}
	return out, nil
}

// applyEdit checks an edit together with the current text of the other sections and
// applies it. base is the version that the new texts were made from. An edit is
// repeated with the same request ID until it is accepted, refused (4xx) or
// maxApplyAttempts is reached. The error of a conflict carries shell.ExitConflict.
func applyEdit(client *operator.Client, current map[string]operator.Section, texts map[string]string, base uint64) (operator.EditResult, error) {
	merged := map[string]string{}
	for name, s := range current {
		// A section that was never written has an empty text. Section operators may be
		// missing, but not empty.
		if s.Text != "" {
			merged[name] = s.Text
		}
	}
	for name, text := range texts {
		merged[name] = text
	}
	if _, err := document.Parse(base+1, merged); err != nil {
		return operator.EditResult{}, err
	}
	e := operator.Edit{Sections: texts, Version: base, RequestID: rand.Text()}
	for attempt := 1; ; attempt++ {
		result, err := client.Apply(context.Background(), e)
		var response *operator.ResponseError
		if err == nil || attempt == maxApplyAttempts || errors.As(err, &response) && response.Status/100 == 4 {
			return result, withExitCode(err)
		}
		time.Sleep(applyRetryInterval)
	}
}

// replaceSection reads a section, calls change with its text, applies the result and
// prints the new version.
func (g *globalOptions) replaceSection(name string, change func(text string) (string, error)) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	current, err := readSections(client)
	if err != nil {
		return err
	}
	text, err := change(current[name].Text)
	if err != nil {
		return err
	}
	a, err := applyEdit(client, current, map[string]string{name: text}, current[name].Version)
	if err != nil {
		return err
	}
	return g.printResult(a, func() { g.printf("section %s is in version %d", name, a.Version) })
}

type applyCommand struct {
	Base *uint64 `long:"base" value-name:"VERSION" description:"Version that the files were made from; without it the version in force"`
	Args struct {
		Pairs []string `positional-arg-name:"NAME FILE" required:"2" description:"Section and file, as often as wanted"`
	} `positional-args:"yes"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if len(c.Args.Pairs)%2 != 0 {
		return &shell.ExitError{Code: shell.ExitUsage, Cause: errors.New("each section needs a file: NAME FILE")}
	}
	texts := map[string]string{}
	for i := 0; i < len(c.Args.Pairs); i += 2 {
		text, err := os.ReadFile(c.Args.Pairs[i+1])
		if err != nil {
			return err
		}
		texts[c.Args.Pairs[i]] = string(text)
	}
	client, err := c.global.client()
	if err != nil {
		return err
	}
	current, err := readSections(client)
	if err != nil {
		return err
	}
	// Each read returns the last version of the whole configuration at that time.
	// Versions only grow, so the section read first has the lowest. With that as the base,
	// an edit made between the reads counts as a conflict.
	base := current[document.Sections()[0]].Version
	if c.Base != nil {
		base = *c.Base
	}
	a, err := applyEdit(client, current, texts, base)
	if err != nil {
		return err
	}
	return c.global.printResult(a, func() { c.global.printf("version %d", a.Version) })
}

// editCommand edits a section in $EDITOR. If the edit fails, it keeps the edited file and
// names it in the error.
type editCommand struct {
	sectionArgument
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	file := ""
	err := c.global.replaceSection(c.Args.Name, func(text string) (string, error) {
		var err error
		file, err = openEditor(c.Args.Name, text)
		if err != nil {
			return "", err
		}
		edited, err := os.ReadFile(file)
		if err == nil && string(edited) == text {
			// The text is sent all the same; the VM makes no version of it.
			c.global.printf("nothing was changed")
		}
		return string(edited), err
	})
	if file == "" {
		return err
	}
	if err != nil {
		return errors.Wrapf(err, "your text is kept in %s", file)
	}
	return os.Remove(file)
}

// openEditor opens a text in $EDITOR, or vi, and returns the path of the edited file. On an
// error the path is empty unless the file exists.
func openEditor(name, text string) (string, error) {
	f, err := os.CreateTemp("", "sycamorectl-"+name+"-*.yaml")
	if err != nil {
		return "", err
	}
	if _, err := f.WriteString(text); err != nil {
		return f.Name(), err
	}
	if err := f.Close(); err != nil {
		return f.Name(), err
	}
	editor := strings.Fields(os.Getenv("EDITOR"))
	if len(editor) == 0 {
		editor = []string{"vi"}
	}
	e := exec.Command(editor[0], append(editor[1:], f.Name())...)
	e.Stdin, e.Stdout, e.Stderr = os.Stdin, os.Stdout, os.Stderr
	if err := e.Run(); err != nil {
		return f.Name(), errors.Wrap(err, "editor")
	}
	return f.Name(), nil
}

type historyCommand struct {
	Limit  int `long:"limit" default:"20" description:"Number of versions"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	client, err := c.global.client()
	if err != nil {
		return err
	}
	h, err := client.History(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return c.global.printResult(h, func() { printHistory(c.global.out, h) })
}
