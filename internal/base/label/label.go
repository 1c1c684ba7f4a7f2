// Package label writes the labels of metrics.
package label

import "strings"

// escapes are all escapes of the text format of Prometheus. A scrape with another one fails.
var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Quote returns the value of a label in quotes. Bytes that are not UTF-8 are replaced.
func Quote(value string) string {
	return `"` + escapes.Replace(strings.ToValidUTF8(value, "\ufffd")) + `"`
}
