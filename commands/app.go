// Package commands implements the commands of the command-line tool comfreytiller and
// the daemon comfreytillerd, one file each.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the fleet refused the command or the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, the settings or a configuration are
	// invalid.
	ExitUsage = 2
	// ExitConflict means that another operator's change was accepted first.
	ExitConflict = 3
	// ExitLagging means that the change was accepted, but some hosts have not
	// applied it yet.
	ExitLagging = 4
	// ExitUnreachable means that no host responded; the outcome may be unknown.
	ExitUnreachable = 5
)

// Version is the version of the programs.
const Version = "0.1.0"

// Streams are the output streams and the clock of a command.
type Streams struct {
	Out   io.Writer
	Err   io.Writer
	Clock clockwork.Clock
}

// StandardStreams returns the process's own streams and the real clock.
func StandardStreams() Streams {
	return Streams{Out: os.Stdout, Err: os.Stderr, Clock: clockwork.NewRealClock()}
}

// app holds the streams and the common flags of a command.
type app struct {
	Streams

	address string
	keyFile string
	json    bool
	wait    time.Duration
}

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitErrorf returns an exitError with a formatted message.
func exitErrorf(code int, format string, arguments ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, arguments...)}
}

// client returns a client of the host given by --Address. It fails if the key file
// can't be read.
func (a *app) client() (operatorpb.Operators, error) {
	if a.keyFile == "" {
		return nil, exitErrorf(ExitUsage, "--KeyFile is missing; it names the file with the key that the hosts share")
	}
	key, err := settings.ReadKey(a.keyFile)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%v", err)
	}
	client := rpc.NewClient(key, a.Clock)
	return operatorpb.NewOperatorsProtobufClient("http://"+a.address, client), nil
}

// convertCallError converts an error of a remote call to an exitError.
func convertCallError(err error) error {
	var rpcErr twirp.Error
	if !errors.As(err, &rpcErr) {
		return exitErrorf(ExitUnreachable, "no response: %v", err)
	}
	switch rpcErr.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal, twirp.Unknown:
		return exitErrorf(ExitUnreachable, "%s", rpcErr.Msg())
	case twirp.InvalidArgument, twirp.Malformed:
		return exitErrorf(ExitUsage, "%s", rpcErr.Msg())
	}
	return exitErrorf(ExitFailed, "%s", rpcErr.Msg())
}

// withRetryHint converts an error of a remote call. If the outcome is unknown, it
// prints the arguments with which a repeated command returns the outcome. A definite
// refusal needs no retry.
func (a *app) withRetryHint(err error, arguments string) error {
	converted := convertCallError(err)
	var exit *exitError
	if errors.As(converted, &exit) && exit.code == ExitUnreachable {
		a.printf("To learn the outcome, repeat the command with %s.\n", arguments)
	}
	return converted
}

// newOperationID returns a random operation ID, which makes a retry after a lost
// response idempotent.
func newOperationID() string { return rand.Text() }

// printJSON prints value as indented JSON. The keys are the names of its fields.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// messageResult is the JSON output of a command whose result is one sentence.
type messageResult struct{ Message string }

// printMessage prints a sentence, as JSON if --Json is set.
func (a *app) printMessage(format string, arguments ...any) error {
	if a.json {
		return a.printJSON(messageResult{Message: fmt.Sprintf(format, arguments...)})
	}
	a.printf(format+"\n", arguments...)
	return nil
}

func (a *app) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(a.Out, format, arguments...)
}

// callContext returns the context of a remote call, which is bounded by callTimeout
// plus extra.
func (a *app) callContext(extra time.Duration) (context.Context, context.CancelFunc) {
	const callTimeout = 30 * time.Second
	return clockwork.WithTimeout(context.Background(), a.Clock, callTimeout+extra)
}
