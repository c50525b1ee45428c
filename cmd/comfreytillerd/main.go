// Command comfreytillerd is the daemon of a host.
package main

import (
	"os"

	"comfreytiller.dev/comfreytiller/commands"
)

func main() {
	os.Exit(commands.RunDaemon(os.Args[1:], commands.StandardStreams()))
}
