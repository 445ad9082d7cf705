package command

import (
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// standardInput is the argument that stands for the standard input.
const standardInput = "-"

// flagsFirst moves the flags of a subcommand before its other arguments: the
// parser stops at the first argument that is no flag, and operators write
// flags at either place.
func flagsFirst(root *ff.Command, args []string) []string {
	command, n := selected(root, args)
	if command.Flags == nil {
		return args
	}
	flags, others := args[:n:n], []string(nil)
	for i := n; i < len(args); i++ {
		switch {
		case args[i] == "--":
			return slices.Concat(flags, []string{"--"}, others, args[i+1:])
		case !isFlag(args[i]):
			others = append(others, args[i])
		default:
			flags = append(flags, args[i])
			if takesNext(command.Flags, args[i]) && i+1 < len(args) {
				i++
				flags = append(flags, args[i])
			}
		}
	}
	if slices.Contains(others, standardInput) {
		flags = append(flags, "--") // the parser drops an argument "-" otherwise
	}
	return append(flags, others...)
}

// selected returns the subcommand that args name and how many name it.
func selected(root *ff.Command, args []string) (*ff.Command, int) {
	command := root
	for n, arg := range args {
		at := slices.IndexFunc(command.Subcommands, func(c *ff.Command) bool { return c.Name == arg })
		if at < 0 {
			return command, n
		}
		command = command.Subcommands[at]
	}
	return command, len(args)
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }

// takesNext reports whether a flag's value is the next argument. Flags
// without a value have no placeholder.
func takesNext(set ff.Flags, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	f, ok := set.GetFlag(name)
	return ok && f.GetPlaceholder() != ""
}
