package shell

// Command is a subcommand that another package adds to a program.
type Command struct {
	// Name, Short and Long are passed to flags.Command.AddCommand.
	Name, Short, Long string
	// Runner implements flags.Commander.
	Runner any
}
