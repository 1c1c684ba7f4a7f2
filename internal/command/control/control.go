// Package control implements the command line of sycamorectl, the operators' client.
package control

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/shell"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
)

// TokenVariable is the environment variable that holds the operator's token.
const TokenVariable = "SYCAMOREDOOR_TOKEN"

// globalOptions holds the options that all subcommands share.
type globalOptions struct {
	Address   string `long:"address" short:"a" env:"SYCAMOREDOOR_ADDRESS" default:"http://127.0.0.1:7433" description:"URL of a VM for operators"`
	TokenFile string `long:"tokenfile" env:"SYCAMOREDOOR_TOKENFILE" value-name:"FILE" description:"File with the operator's token; without it SYCAMOREDOOR_TOKEN holds the token"`
	Authority string `long:"authority" env:"SYCAMOREDOOR_AUTHORITY" value-name:"FILE" description:"PEM certificate of the authority that signed the VMs' certificates for operators"`
	Timeout   int64  `long:"timeout" default:"10000" value-name:"MS" description:"Longest wait for an answer in milliseconds"`
	JSON      bool   `long:"json" description:"Print one JSON object"`

	out io.Writer
}

// client returns a client of the VM at --address.
func (g *globalOptions) client() (*operator.Client, error) {
	return g.clientFor(g.Address, clock.Millis(g.Timeout))
}

// clientFor returns a client of the VM at url, with the token and the authority that the
// options name.
func (g *globalOptions) clientFor(url string, timeout clock.Millis) (*operator.Client, error) {
	o := operator.Options{BaseURL: url, Token: os.Getenv(TokenVariable), Timeout: timeout}
	if g.TokenFile != "" {
		text, err := os.ReadFile(g.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "token")
		}
		o.Token = strings.TrimSpace(string(text))
	}
	if g.Authority != "" {
		text, err := os.ReadFile(g.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "authority")
		}
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
		if !o.TLS.RootCAs.AppendCertsFromPEM(text) {
			return nil, errors.Errorf("no certificate in %s", g.Authority)
		}
	}
	return operator.NewClient(o), nil
}

// printResult prints v as JSON, or calls text to print it for people.
func (g *globalOptions) printResult(v any, text func()) error {
	if g.JSON {
		return shell.WriteJSON(g.out, v)
	}
	text()
	return nil
}

// printf prints one line; it adds the line end.
func (g *globalOptions) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(g.out, format+"\n", args...)
}

// withExitCode returns err with exit code ExitConflict if the VM answered 409 Conflict, and
// unchanged otherwise. The usual cause is another edit of the section.
func withExitCode(err error) error {
	var response *operator.ResponseError
	if errors.As(err, &response) && response.Status == http.StatusConflict {
		return &shell.ExitError{Code: shell.ExitConflict, Cause: err}
	}
	return err
}

const help = `The operators' client of sycamoredoor.

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 another has changed the
section since it was read; 4 the wait was over.`

// Main runs the program and returns its exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	g := &globalOptions{out: out}
	p := flags.NewNamedParser("sycamorectl", flags.None)
	p.LongDescription = help
	if _, err := p.AddGroup("Options", "", g); err != nil {
		panic(err)
	}
	addCommand(p.Command, "status", "Show every VM", "Asks a VM for the others and each of them for what it holds, terms, positions and lag.", &statusCommand{global: g})
	addCommand(p.Command, "wait", "Wait for a version", "Waits until every live VM has the version or a later one in force.", &waitCommand{global: g})
	addCommand(p.Command, "explain", "Show where a statement would go", "Asks a VM of \"sycamoredoor frontend\" where a statement would go now and why, and sends no statement. --address names the VM's listener for metrics.", &explainCommand{global: g})
	addCommand(p.Command, "check", "Check sections offline", "Checks files named after their sections, such as routes.yaml, or all such files of a folder.", &checkCommand{global: g})
	addCommand(p.Command, "version", "Print the version", "Prints the version of this program.", &versionCommand{global: g})
	s := addCommand(p.Command, "section", "Read and edit sections", "Reads and edits the sections databases, accounts, routes and operators.", &struct{}{})
	addCommand(s, "get", "Print a section", "Prints the last accepted text of a section.", &getCommand{global: g})
	addCommand(s, "edit", "Edit a section", "Opens the section in $EDITOR, checks it and applies it. When that fails the text is kept in a file.", &editCommand{global: g})
	addCommand(s, "apply", "Replace sections", "Replaces sections by files, all in one version.", &applyCommand{global: g})
	addCommand(s, "diff", "Compare a section", "Compares the last version of a section with a file; exit code 1 when they differ.", &diffCommand{global: g})
	addCommand(s, "history", "Show who changed what", "Shows the last versions, the newest first, with times in UTC.", &historyCommand{global: g})
	k := addCommand(p.Command, "key", "Grant and withdraw keys", "Grants and withdraws keys of client accounts.", &struct{}{})
	addCommand(k, "new", "Grant a key", "Makes a key, adds its verifier to section accounts and prints the key, this once only.", &newKeyCommand{global: g})
	addCommand(k, "withdraw", "Withdraw a key", "Takes a key out of section accounts. Its callers are cut off.", &withdrawCommand{global: g})
	o := addCommand(p.Command, "operator", "Make operators' tokens", "Makes tokens of operators.", &struct{}{})
	addCommand(o, "new", "Make a token", "Makes a token and the line for section operators. It sends nothing.", &newOperatorCommand{global: g})
	return shell.Run(p, arguments, out, errOut)
}

// addCommand adds a subcommand. It panics if the command's tags are invalid.
func addCommand(parent *flags.Command, name, short, long string, command any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, command)
	if err != nil {
		panic(err)
	}
	return c
}

type versionCommand struct{ global *globalOptions }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	v := struct {
		Version string `json:"version"`
	}{shell.Version}
	return c.global.printResult(v, func() { c.global.printf("%s", v.Version) })
}
