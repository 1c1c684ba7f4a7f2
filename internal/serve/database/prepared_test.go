package database

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// sentLines records what the connections of a protocol send.
type sentLines struct {
	lines []string
	// unknown makes the server not know the next prepared statement.
	unknown bool
}

func (l *sentLines) add(words ...string) error {
	l.lines = append(l.lines, strings.Join(words, " "))
	return nil
}

func (l *sentLines) protocol() Protocol {
	return Protocol{
		DialFunc: func(context.Context, Server, string) (*Conn, floor.ReplicationPosition, error) {
			return &Conn{
				RunFunc: func(r Request) (statement.Answer, error) {
					a := statement.Answer{Status: statement.Idle}
					if l.unknown {
						a.Code = statement.NotPrepared
					}
					return a, l.add(r.Text)
				},
				PrepareFunc: func(name string, s statement.Shape, _ clock.Millis) error {
					_ = l.add("PREPARE", name, s.Kind(), s.Text)
					if strings.HasSuffix(s.Text, "BAD") {
						return &RefusalError{Code: statement.Invalid, Detail: "no shape", Status: statement.Idle}
					}
					return nil
				},
				DeallocateFunc: func(name string, _ clock.Millis) error { return l.add("DEALLOC", name) },
				SetFunc:        func(name, value string, _ clock.Millis) error { return l.add("SET", name, value) },
				ResetFunc:      func(clock.Millis) error { return l.add("RESET") },
				CloseFunc:      func() {},
			}, floor.ReplicationPosition{}, nil
		},
		ExecuteFunc: func(name, arguments string) string { return "EXECUTE " + name + " " + arguments },
		ParseFunc: func(text string) statement.Statement {
			name, arguments, _ := strings.Cut(strings.TrimPrefix(text, "EXECUTE "), " ")
			return statement.Statement{Kind: statement.Execute, Name: name, Arguments: arguments}
		},
	}
}

// preparedStep is one statement on a connection, and all that the server gets for it.
type preparedStep struct {
	// Text is a plain statement; Shape, Write and Arguments are those of a prepared one.
	Text      string            `yaml:"text"`
	Shape     string            `yaml:"shape"`
	Write     bool              `yaml:"write"`
	Arguments string            `yaml:"arguments"`
	Settings  map[string]string `yaml:"settings"`
	// Unknown makes the server not know the prepared statement.
	Unknown bool `yaml:"unknown"`
	// Others runs so many other shapes in place of one statement.
	Others int      `yaml:"others"`
	Sent   []string `yaml:"sent"`
	// Code is the name of the code of the answer, empty for that of success.
	Code string `yaml:"code"`
}

// TestPreparedNames plays scripts of statements on one connection.
func TestPreparedNames(t *testing.T) {
	var scripts []struct {
		Name  string         `yaml:"name"`
		Steps []preparedStep `yaml:"steps"`
	}
	scripted.Read(t, "testdata/prepared.yaml", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			l := &sentLines{}
			g := (&fakeGroup{}).group(t, 4)
			g.options.Protocol = l.protocol()
			conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
			if err != nil {
				t.Fatal(err)
			}
			for i, step := range s.Steps {
				l.play(t, conn, step, i)
			}
		})
	}
}

// play runs one step, whose number is i.
func (l *sentLines) play(t *testing.T, conn *PooledConn, step preparedStep, i int) {
	t.Helper()
	run := func(r Request) {
		r.ID, r.Timeout = "x", 1000
		a, err := conn.Run(r)
		if err != nil {
			t.Fatal(err)
		}
		if step.Code != "" && a.Code.String() != step.Code {
			t.Errorf("step %d: code %s, want %s", i, a.Code, step.Code)
		}
	}
	execution := func(shape string) Request {
		return Request{Execution: statement.Execution{Shape: statement.Shape{IsWrite: step.Write, Text: shape}, Arguments: step.Arguments}}
	}
	for n := range step.Others {
		run(execution(fmt.Sprintf("other %d", n)))
	}
	l.lines, l.unknown = nil, step.Unknown
	if step.Others > 0 {
		return
	}
	if err := conn.SyncSettings(step.Settings, 1000); err != nil {
		t.Fatal(err)
	}
	if step.Shape != "" {
		run(execution(step.Shape))
	} else {
		run(Request{Text: step.Text})
	}
	if d := cmp.Diff(step.Sent, l.lines); d != "" {
		t.Errorf("step %d, sent (-want +got):\n%s", i, d)
	}
}
