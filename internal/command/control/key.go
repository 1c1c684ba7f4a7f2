package control

import (
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

type newKeyCommand struct {
	ID   string `long:"id" value-name:"ID" description:"Name of the key within the account; a random one otherwise"`
	Args struct {
		Account string `positional-arg-name:"ACCOUNT" required:"yes"`
	} `positional-args:"yes"`
	global *globalOptions
}

// generatedKey is a newly generated key of a client account.
type generatedKey struct {
	Account string `json:"account"`
	ID      string `json:"id"`
	Key     string `json:"key"`
}

// Execute implements flags.Commander.
func (c *newKeyCommand) Execute([]string) error {
	key := generatedKey{Account: c.Args.Account, ID: c.ID, Key: rand.Text()}
	if key.ID == "" {
		key.ID = "k" + strings.ToLower(rand.Text()[:8])
	}
	salt := make([]byte, verifier.SaltSize)
	if _, err := rand.Read(salt); err != nil {
		return err
	}
	storedVerifier, err := verifier.New(key.Key, salt)
	if err != nil {
		return err
	}
	// The result of the edit is discarded: only the key is printed.
	silentOptions := *c.global
	silentOptions.out, silentOptions.JSON = &strings.Builder{}, false
	err = silentOptions.replaceSection(document.SectionAccounts, func(text string) (string, error) {
		return document.AddKey(text, key.Account, document.Key{ID: key.ID, Verifier: storedVerifier})
	})
	if err != nil {
		return err
	}
	return c.global.printResult(key, func() {
		c.global.printf("key %s of client account %s: %s", key.ID, key.Account, key.Key)
		c.global.printf("Callers give it as the password of user %s/%s.", key.Account, key.ID)
		c.global.printf("It is kept nowhere else. Withdraw it with: sycamorectl key withdraw %s %s", key.Account, key.ID)
	})
}

type withdrawCommand struct {
	Args struct {
		Account string `positional-arg-name:"ACCOUNT" required:"yes"`
		ID      string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return c.global.replaceSection(document.SectionAccounts, func(text string) (string, error) {
		return document.RemoveKey(text, c.Args.Account, c.Args.ID)
	})
}

type newOperatorCommand struct {
	Args struct {
		Name     string   `positional-arg-name:"NAME" required:"yes"`
		Sections []string `positional-arg-name:"SECTION" required:"1"`
	} `positional-args:"yes"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *newOperatorCommand) Execute([]string) error {
	o := struct {
		Token string `json:"token"`
		Line  string `json:"line"`
	}{Token: verifier.NewToken()}
	o.Line = fmt.Sprintf("- {name: %q, sections: [%s], verifier: %q}", c.Args.Name, strings.Join(c.Args.Sections, ", "), verifier.HashToken(o.Token))
	return c.global.printResult(o, func() {
		c.global.printf("token: %s\nline for section operators:\n  %s", o.Token, o.Line)
	})
}
