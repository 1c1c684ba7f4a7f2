package shell

// Command is one more command of a program, from outside the command lines.
type Command struct {
	Name, Short, Long string
	// Runner implements flags.Commander.
	Runner any
}
