// Package commands holds the commands of the two programs, one file each.
//
// # Usage
//
//	os.Exit(commands.RunCLI(os.Args[1:], commands.StandardStreams()))
package commands

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/common/rpc"
	"comfreytiller.dev/settings"
)

// Exit codes of the programs.
const (
	// ExitOK: the command did what it was asked.
	ExitOK = 0
	// ExitFailed: the fleet refused the command or it failed.
	ExitFailed = 1
	// ExitUsage: the arguments, the settings or a text are faulty.
	ExitUsage = 2
	// ExitConflict: another operator's change was accepted first.
	ExitConflict = 3
	// ExitLagging: accepted, but some hosts have not applied it yet.
	ExitLagging = 4
	// ExitUnreachable: no host answered; the outcome may be unknown.
	ExitUnreachable = 5
)

// Version is the version of the programs.
const Version = "0.1.0"

// Streams are where a command reads and writes.
type Streams struct {
	Out   io.Writer
	Err   io.Writer
	Clock clockwork.Clock
}

// StandardStreams returns the process's own streams and the real clock.
func StandardStreams() Streams {
	return Streams{Out: os.Stdout, Err: os.Stderr, Clock: clockwork.NewRealClock()}
}

// app is what every command works with.
type app struct {
	Streams

	address string
	keyFile string
	json    bool
	wait    time.Duration
}

// failure is an error with the exit code that it leads to.
type failure struct {
	code int
	err  error
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

func fail(code int, format string, arguments ...any) error {
	return &failure{code: code, err: errors.Errorf(format, arguments...)}
}

// client returns a client of the host that the arguments name.
func (a *app) client() (operatorpb.Operators, error) {
	if a.keyFile == "" {
		return nil, fail(ExitUsage, "--KeyFile is missing; it names the file with the key that the hosts share")
	}
	key, err := settings.ReadKey(a.keyFile)
	if err != nil {
		return nil, fail(ExitUsage, "%v", err)
	}
	client := rpc.NewClient(key, a.Clock)
	return operatorpb.NewOperatorsProtobufClient("http://"+a.address, client), nil
}

// remote makes an error of a call readable.
func remote(err error) error {
	var told twirp.Error
	if !errors.As(err, &told) {
		return fail(ExitUnreachable, "no answer: %v", err)
	}
	switch told.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal, twirp.Unknown:
		return fail(ExitUnreachable, "%s", told.Msg())
	case twirp.InvalidArgument, twirp.Malformed:
		return fail(ExitUsage, "%s", told.Msg())
	}
	return fail(ExitFailed, "%s", told.Msg())
}

// again tells how to learn an outcome that may be unknown; a definite refusal
// needs no resend.
func (a *app) again(err error, arguments string) error {
	told := remote(err)
	var known *failure
	if errors.As(told, &known) && known.code == ExitUnreachable {
		a.printf("Send it again with %s to learn the outcome.\n", arguments)
	}
	return told
}

// operation returns a new name for an operation, so that a resend after a lost
// answer gets the same answer.
func operation() string { return rand.Text() }

// printJSON writes value, whose keys are in Pascal case as its fields.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// done is the JSON form of a command that answers with one sentence.
type done struct{ Message string }

// say prints a sentence, or its JSON form where that was asked for.
func (a *app) say(format string, arguments ...any) error {
	if a.json {
		return a.printJSON(done{Message: fmt.Sprintf(format, arguments...)})
	}
	a.printf(format+"\n", arguments...)
	return nil
}

func (a *app) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(a.Out, format, arguments...)
}

// callContext bounds a command.
func (a *app) callContext(extra time.Duration) (context.Context, context.CancelFunc) {
	const callTimeout = 30 * time.Second
	return clockwork.WithTimeout(context.Background(), a.Clock, callTimeout+extra)
}
