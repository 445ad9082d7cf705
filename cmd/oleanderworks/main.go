// Command oleanderworks runs and operates an overload control layer for service call
// graphs.
package main

import (
	"context"
	"os"

	"github.com/oleanderworks/oleanderworks/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
