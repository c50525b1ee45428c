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

// metricsInterval is the pause between updates of the metrics endpoint.
const metricsInterval = time.Second

// logCloseLimit bounds the writing of the last lines of the log.
const logCloseLimit = 200 * time.Millisecond

// daemonArguments are the arguments of the daemon.
type daemonArguments struct {
	settings  string
	bootstrap bool
	restore   string
	version   bool
}

const daemonHelp = `comfreytillerd: the daemon of an entry host

  --Settings FILE   the host's settings, JSON with comments
  --Bootstrap       make a new cluster with this host as its only member, once
  --Restore FILE    with --Bootstrap: start from a backup, under a new cluster name
  --Version         print the version

Example:
  comfreytillerd --Settings examples/agence/rabat-a-1.jsonc

Exit codes: 0 stopped after a drain, 1 failed, 2 faulty arguments or settings.
`

// RunDaemon runs the daemon until SIGTERM or SIGINT and returns its exit code.
func RunDaemon(arguments []string, streams Streams) int {
	if len(arguments) > 0 && isHelp(arguments[0]) {
		_, _ = fmt.Fprint(streams.Out, daemonHelp)
		return ExitOK
	}
	var given daemonArguments
	if err := parseDaemon(arguments, &given); err != nil {
		_, _ = fmt.Fprintf(streams.Err, "comfreytillerd: %v; see comfreytillerd --help\n", err)
		return ExitUsage
	}
	if given.version {
		_, _ = fmt.Fprintf(streams.Out, "comfreytillerd %s\n", Version)
		return ExitOK
	}
	err := runDaemon(given, streams)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(streams.Err, "comfreytillerd: %v\n", err)
	if errors.Is(err, jsonc.ErrInvalid) || errors.Is(err, os.ErrNotExist) {
		return ExitUsage
	}
	return ExitFailed
}

func parseDaemon(arguments []string, into *daemonArguments) error {
	parser := flaggy.NewParser("comfreytillerd")
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.String(&into.settings, "s", "Settings", "The host's settings.")
	parser.Bool(&into.bootstrap, "b", "Bootstrap", "Write the first state of a new cluster.")
	parser.String(&into.restore, "r", "Restore", "Start from a backup.")
	parser.Bool(&into.version, "v", "Version", "Print the version.")
	if err := knownFlags(parser.Flags, arguments); err != nil {
		return err
	}
	if err := parse(parser, arguments); err != nil {
		return err
	}
	if into.settings == "" && !into.version {
		return errors.New("--Settings is missing")
	}
	if into.restore != "" && !into.bootstrap {
		return errors.New("--Restore goes with --Bootstrap")
	}
	return nil
}

func runDaemon(given daemonArguments, streams Streams) error {
	// SIGHUP ends a process that does not take it, also while it starts or drains.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	loaded, err := settings.Load(given.settings)
	if err != nil {
		return err
	}
	output, finish := logOutput(loaded, streams)
	defer finish()
	log, err := logs.New(output, loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		return err
	}
	if loaded.Role != settings.RoleWhole {
		return runRole(given, loaded, log, hangUps, streams)
	}
	dependencies, err := daemonDependencies(given, loaded, log, streams)
	if err != nil {
		return err
	}
	daemon, err := host.New(dependencies)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	following, end := context.WithCancel(context.Background())
	defer end()
	go reload(following, hangUps, given.settings, log)
	return daemon.Run(ctx)
}

func daemonDependencies(given daemonArguments, loaded *settings.Settings, log *logrus.Logger, streams Streams) (host.Dependencies, error) {
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
	if given.restore != "" {
		if restore, err = os.ReadFile(given.restore); err != nil {
			return host.Dependencies{}, errors.Wrapf(err, "read backup %s", given.restore)
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
		Bootstrap: given.bootstrap,
		Restore:   restore,
	}, nil
}

// newScope returns the metrics of a daemon and what serves them.
func newScope(loaded *settings.Settings, log *logrus.Logger) (tally.Scope, prometheus.Reporter) {
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(err error) {
		log.Errorf("Host: A metric is left out: %v.", err)
	}})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "comfreytiller",
		Tags:           map[string]string{"host": loaded.Host},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The library's own names are not valid for its reporter.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter
}

// logOutput returns where the log goes, and what ends it.
func logOutput(loaded *settings.Settings, streams Streams) (io.Writer, func()) {
	if loaded.Log.Output != settings.OutputStdout {
		return streams.Err, func() {}
	}
	queue := logs.NewQueue(streams.Out, streams.Clock)
	return queue, func() { queue.Close(logCloseLimit) }
}

// reload takes the log level from the settings again on SIGHUP. All else needs
// a restart; faulty settings change nothing.
func reload(ctx context.Context, hangUps <-chan os.Signal, file string, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		loaded, err := settings.Load(file)
		if err != nil {
			log.Warnf("Host: Settings are not taken again: %v.", err)
			continue
		}
		level, err := logrus.ParseLevel(loaded.Log.Level)
		if err == nil {
			log.SetLevel(level)
			log.Infof("Host: Log level is %s.", level)
		}
	}
}
