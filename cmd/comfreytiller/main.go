// Command comfreytiller is the command-line tool for operators.
package main

import (
	"os"

	"comfreytiller.dev/comfreytiller/commands"
)

func main() {
	os.Exit(commands.RunCLI(os.Args[1:], commands.StandardStreams()))
}
