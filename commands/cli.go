package commands

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// command is a subcommand of the command-line tool.
type command struct {
	name string
	// summary is the one-line help text, example a command line shown by --help.
	summary string
	example string
	// addArguments adds the flags and positional arguments; nil if there are none
	// beyond the common flags. run executes the command.
	addArguments func(sub *flaggy.Subcommand)
	run          func(a *app) error
}

// RunCLI runs the command-line tool for operators and returns its exit code.
func RunCLI(arguments []string, streams Streams) int {
	a := &app{
		Streams: streams,
		address: "127.0.0.1:7080",
		wait:    defaultWait,
	}
	all := []*command{
		checkCommand(a), applyCommand(a), showCommand(a), statusCommand(a),
		drainCommand(a), restoreCommand(a), pinCommand(a), replicaCommand(a),
		claimsCommand(a), backupCommand(a), runCommand(a), versionCommand(a),
	}
	if len(arguments) == 0 || isHelp(arguments[0]) {
		writeOverview(streams.Out, all)
		return ExitOK
	}
	for _, c := range all {
		if c.name != arguments[0] {
			continue
		}
		if len(arguments) > 1 && isHelp(arguments[1]) {
			writeHelp(streams.Out, c)
			return ExitOK
		}
		return a.execute(c, arguments)
	}
	_, _ = fmt.Fprintf(streams.Err, "comfreytiller: unknown command %q; see comfreytiller --help\n", arguments[0])
	return ExitUsage
}

// defaultWait is the default of --Wait.
const defaultWait = 10 * time.Second

func isHelp(argument string) bool {
	switch argument {
	case "help", "-h", "--help", "--Help":
		return true
	}
	return false
}

func (a *app) execute(c *command, arguments []string) int {
	parser := flaggy.NewParser("comfreytiller")
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	sub := flaggy.NewSubcommand(c.name)
	a.commonFlags(sub)
	if c.addArguments != nil {
		c.addArguments(sub)
	}
	parser.AttachSubcommand(sub, 1)
	err := rejectUnknownFlags(sub.Flags, arguments)
	if err == nil {
		err = parseArguments(parser, arguments)
	}
	if err != nil {
		return a.reportError(c, &exitError{code: ExitUsage, err: err})
	}
	return a.reportError(c, c.run(a))
}

// rejectUnknownFlags returns an error for a flag that the command does not have. The
// library would silently ignore it.
func rejectUnknownFlags(flags []*flaggy.Flag, arguments []string) error {
	known := map[string]bool{}
	for _, flag := range flags {
		known["-"+flag.ShortName] = true
		known["--"+flag.LongName] = true
	}
	for _, argument := range arguments {
		name, _, _ := strings.Cut(argument, "=")
		if strings.HasPrefix(name, "-") && !known[name] {
			return errors.Errorf("unknown flag %s", name)
		}
	}
	return nil
}

// parseArguments parses the arguments and converts the library's panics on unknown
// flags into errors.
func parseArguments(parser *flaggy.Parser, arguments []string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("%v", cause)
		}
	}()
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	if len(parser.TrailingArguments) > 0 {
		return errors.Errorf("unexpected arguments: %s", strings.Join(parser.TrailingArguments, " "))
	}
	return nil
}

func (a *app) commonFlags(sub *flaggy.Subcommand) {
	sub.String(&a.address, "a", "Address", "Peer IP:port of any host.")
	sub.String(&a.keyFile, "k", "KeyFile", "File with the key that the hosts share.")
	sub.Bool(&a.json, "j", "Json", "Print JSON.")
	sub.Duration(&a.wait, "w", "Wait", "How long to wait until a change is active on every host.")
}

// reportError prints the error of a command and returns the exit code.
func (a *app) reportError(c *command, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(a.Err, "comfreytiller %s: %v\n", c.name, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func writeOverview(out io.Writer, all []*command) {
	_, _ = fmt.Fprint(out, "comfreytiller: command-line tool for operators\n\nCommands:\n")
	for _, c := range all {
		_, _ = fmt.Fprintf(out, "  %-10s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprint(out, `
Common flags:
  --Address IP:port   peer address of any host (127.0.0.1:7080)
  --KeyFile FILE      file with the key that the hosts share
  --Json              print JSON
  --Wait DURATION     how long to wait until a change is active on every host (10s)

Exit codes: 0 done, 1 refused or failed, 2 invalid arguments or configuration,
3 another operator's change was accepted first, 4 accepted but not yet active on
every host, 5 no response.

comfreytiller COMMAND --help shows an example.
`)
}

func writeHelp(out io.Writer, c *command) {
	_, _ = fmt.Fprintf(out, "comfreytiller %s: %s\n\nExample:\n  %s\n", c.name, c.summary, c.example)
}
