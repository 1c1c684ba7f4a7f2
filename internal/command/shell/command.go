package shell

// Command is a command that another package adds to a program.
type Command struct {
	Name, Short, Long string
	// Runner implements flags.Commander.
	Runner any
}
