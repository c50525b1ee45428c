package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"comfreytiller.dev/comfreytiller/host"
	"comfreytiller.dev/common/jsonc"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/settings"
)

// metricsInterval is the interval between updates of the metrics endpoint.
const metricsInterval = time.Second

// logCloseTimeout bounds the flush of the log on exit.
const logCloseTimeout = 200 * time.Millisecond

// daemonArguments are the arguments of the daemon.
type daemonArguments struct {
	settings  string
	bootstrap bool
	restore   string
	version   bool
}

const daemonHelp = `comfreytillerd: the daemon of a host

  --Settings FILE   the host's settings, JSON with comments
  --Bootstrap       create a new cluster with this host as its only member; use it once
  --Restore FILE    with --Bootstrap: start from a backup, under a new cluster name
  --Version         print the version

Example:
  comfreytillerd --Settings examples/agence/rabat-a-1.jsonc

Exit codes: 0 stopped after a drain, 1 failed, 2 invalid arguments or settings.
`

// RunDaemon runs the daemon until SIGTERM or SIGINT and returns its exit code.
func RunDaemon(arguments []string, streams Streams) int {
	if len(arguments) > 0 && isHelp(arguments[0]) {
		_, _ = fmt.Fprint(streams.Out, daemonHelp)
		return ExitOK
	}
	var args daemonArguments
	if err := parseDaemonArguments(arguments, &args); err != nil {
		_, _ = fmt.Fprintf(streams.Err, "comfreytillerd: %v; see comfreytillerd --help\n", err)
		return ExitUsage
	}
	if args.version {
		_, _ = fmt.Fprintf(streams.Out, "comfreytillerd %s\n", Version)
		return ExitOK
	}
	err := loadAndRun(args, streams)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(streams.Err, "comfreytillerd: %v\n", err)
	if errors.Is(err, jsonc.ErrInvalid) || errors.Is(err, os.ErrNotExist) {
		return ExitUsage
	}
	return ExitFailed
}

// parseDaemonArguments parses and validates the command line of the daemon.
func parseDaemonArguments(arguments []string, args *daemonArguments) error {
	parser := flaggy.NewParser("comfreytillerd")
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.String(&args.settings, "s", "Settings", "The host's settings.")
	parser.Bool(&args.bootstrap, "b", "Bootstrap", "Create a new cluster.")
	parser.String(&args.restore, "r", "Restore", "Start from a backup.")
	parser.Bool(&args.version, "v", "Version", "Print the version.")
	if err := rejectUnknownFlags(parser.Flags, arguments); err != nil {
		return err
	}
	if err := parseArguments(parser, arguments); err != nil {
		return err
	}
	if args.settings == "" && !args.version {
		return errors.New("--Settings is missing")
	}
	if args.restore != "" && !args.bootstrap {
		return errors.New("--Restore requires --Bootstrap")
	}
	return nil
}

// loadAndRun loads the settings and runs the daemon of their role until SIGTERM or
// SIGINT.
func loadAndRun(args daemonArguments, streams Streams) error {
	// By default SIGHUP terminates a process. It is handled from here on, so that it
	// doesn't end the process during startup or drain either.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx := untilStopSignal()
	loaded, err := settings.Load(args.settings)
	if err != nil {
		return err
	}
	output, closeLog := logOutput(loaded, streams)
	defer closeLog()
	log, err := logs.New(output, loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		return err
	}
	if loaded.Role != settings.RoleWhole {
		return runRole(ctx, args, loaded, log, hangups, streams)
	}
	dependencies, err := daemonDependencies(args, loaded, log, streams)
	if err != nil {
		return err
	}
	daemon, err := host.New(dependencies)
	if err != nil {
		return err
	}
	reloadCtx, stopReload := context.WithCancel(context.Background())
	defer stopReload()
	go reloadLogLevel(reloadCtx, hangups, args.settings, log)
	return daemon.Run(ctx)
}

// untilStopSignal returns a context that ends with the first SIGTERM or SIGINT. The others are
// ignored until the process has exited: one of them would end it before its log is written.
func untilStopSignal() context.Context {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-signals
		stop()
	}()
	return ctx
}

// daemonDependencies reads the key files and the backup and sets up the metrics.
func daemonDependencies(args daemonArguments, loaded *settings.Settings, log *logrus.Logger, streams Streams) (host.Dependencies, error) {
	key, err := settings.ReadKey(loaded.KeyFile)
	if err != nil {
		return host.Dependencies{}, err
	}
	scope, reporter := newScope(loaded, log)
	targetKey := ""
	if loaded.TargetKeyFile != "" {
		read, err := settings.ReadKey(loaded.TargetKeyFile)
		if err != nil {
			return host.Dependencies{}, err
		}
		targetKey = string(read)
	}
	var restore []byte
	if args.restore != "" {
		if restore, err = os.ReadFile(args.restore); err != nil {
			return host.Dependencies{}, errors.Wrapf(err, "read backup %s", args.restore)
		}
	}
	return host.Dependencies{
		Settings:  loaded,
		Key:       key,
		TargetKey: targetKey,
		Clock:     streams.Clock,
		Log:       log,
		Scope:     scope,
		Metrics:   reporter,
		Bootstrap: args.bootstrap,
		Restore:   restore,
	}, nil
}

// newScope returns the metrics scope of a daemon and the reporter that serves it.
func newScope(loaded *settings.Settings, log *logrus.Logger) (tally.Scope, prometheus.Reporter) {
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(err error) {
		log.Errorf("Host: Failed to register a metric: %v.", err)
	}})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "comfreytiller",
		Tags:           map[string]string{"host": loaded.Host},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of the library's own metrics are not valid Prometheus names.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter
}

// logOutput returns the writer of the log and a function that flushes and closes it.
func logOutput(loaded *settings.Settings, streams Streams) (io.Writer, func()) {
	if loaded.Log.Output != settings.OutputStdout {
		return streams.Err, func() {}
	}
	writer := logs.NewAsyncWriter(streams.Out, streams.Clock)
	return writer, func() { writer.Close(logCloseTimeout) }
}

// reloadLogLevel reloads the log level from the settings file on SIGHUP. Any other
// change of the settings needs a restart. Invalid settings are logged and ignored.
func reloadLogLevel(ctx context.Context, hangups <-chan os.Signal, file string, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		loaded, err := settings.Load(file)
		if err != nil {
			log.Warnf("Host: Failed to reload the settings: %v.", err)
			continue
		}
		level, err := logrus.ParseLevel(loaded.Log.Level)
		if err == nil {
			log.SetLevel(level)
			log.Infof("Host: Log level set to %s.", level)
		}
	}
}
