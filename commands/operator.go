package commands

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// command is one subcommand of the operators' tool.
type command struct {
	name string
	// about says what it does, example how to call it.
	about   string
	example string
	// setUp adds its arguments; run executes it.
	setUp func(sub *flaggy.Subcommand)
	run   func(a *app) error
}

// RunCLI runs the operators' tool and returns its exit code.
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
	if c.setUp != nil {
		c.setUp(sub)
	}
	parser.AttachSubcommand(sub, 1)
	err := knownFlags(sub.Flags, arguments)
	if err == nil {
		err = parse(parser, arguments)
	}
	if err != nil {
		return a.report(c, &failure{code: ExitUsage, err: err})
	}
	return a.report(c, c.run(a))
}

// knownFlags reports a flag that the command does not have; the library would
// pass over it.
func knownFlags(flags []*flaggy.Flag, arguments []string) error {
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

// parse turns the library's panics on unknown flags into errors.
func parse(parser *flaggy.Parser, arguments []string) (err error) {
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
	sub.Duration(&a.wait, "w", "Wait", "How long to wait until a change is in force.")
}

func (a *app) report(c *command, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(a.Err, "comfreytiller %s: %v\n", c.name, err)
	var known *failure
	if errors.As(err, &known) {
		return known.code
	}
	return ExitFailed
}

func writeOverview(out io.Writer, all []*command) {
	_, _ = fmt.Fprint(out, "comfreytiller: the operators' tool\n\nCommands:\n")
	for _, c := range all {
		_, _ = fmt.Fprintf(out, "  %-10s %s\n", c.name, c.about)
	}
	_, _ = fmt.Fprint(out, `
Common flags:
  --Address IP:port   peer address of any host (127.0.0.1:7080)
  --KeyFile FILE      file with the key that the hosts share
  --Json              print JSON
  --Wait DURATION     how long to wait until a change is in force (10s)

Exit codes: 0 done, 1 refused or failed, 2 faulty arguments or text,
3 another operator was first, 4 accepted but not yet in force everywhere,
5 no answer.

comfreytiller COMMAND --help shows an example.
`)
}

func writeHelp(out io.Writer, c *command) {
	_, _ = fmt.Fprintf(out, "comfreytiller %s: %s\n\nExample:\n  %s\n", c.name, c.about, c.example)
}
