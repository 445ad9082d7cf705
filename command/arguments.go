package command

import (
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// standardStreamArgument is the argument that stands for the standard input or output.
const standardStreamArgument = "-"

// flagsFirst moves the flags of a subcommand before its positional arguments. The parser
// stops at the first argument that is not a flag; operators may write flags in either
// place.
func flagsFirst(root *ff.Command, args []string) []string {
	command, n := selectedCommand(root, args)
	if command.Flags == nil {
		return args
	}
	flagArgs, positional := args[:n:n], []string(nil)
	for i := n; i < len(args); i++ {
		switch {
		case args[i] == "--":
			return slices.Concat(flagArgs, []string{"--"}, positional, args[i+1:])
		case !isFlag(args[i]):
			positional = append(positional, args[i])
		default:
			flagArgs = append(flagArgs, args[i])
			if takesNextArgument(command.Flags, args[i]) && i+1 < len(args) {
				i++
				flagArgs = append(flagArgs, args[i])
			}
		}
	}
	if slices.Contains(positional, standardStreamArgument) {
		flagArgs = append(flagArgs, "--") // otherwise the parser drops the argument "-"
	}
	return append(flagArgs, positional...)
}

// selectedCommand returns the subcommand that args select and the number of args that
// are part of its name.
func selectedCommand(root *ff.Command, args []string) (*ff.Command, int) {
	command := root
	for n, arg := range args {
		index := slices.IndexFunc(command.Subcommands, func(c *ff.Command) bool { return c.Name == arg })
		if index < 0 {
			return command, n
		}
		command = command.Subcommands[index]
	}
	return command, len(args)
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

// takesNextArgument reports whether the value of the flag in arg is the next argument.
// Only flags without a value have an empty placeholder.
func takesNextArgument(flags ff.Flags, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	f, ok := flags.GetFlag(name)
	return ok && f.GetPlaceholder() != ""
}
