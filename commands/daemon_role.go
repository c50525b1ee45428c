package commands

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"comfreytiller.dev/comfreytiller/entry"
	"comfreytiller.dev/comfreytiller/hub"
	"comfreytiller.dev/comfreytiller/platform"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/settings"
)

// settingsInterval is the pause between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// errProtocol reports settings that name an unknown protocol.
var errProtocol = errors.New("unknown protocol")

// protocols are what the roles Entry and State may speak.
var protocols = map[string]func() protocol.Protocol{
	platform.ProtocolName: platform.Protocol,
}

// runRole runs a daemon of the role Entry or State until SIGTERM or SIGINT.
func runRole(given daemonArguments, loaded *settings.Settings, log *logrus.Logger, hangUps <-chan os.Signal, streams Streams) error {
	speaks, known := protocols[loaded.Protocol]
	if !known {
		return errors.Wrapf(errProtocol, "%q", loaded.Protocol)
	}
	var key []byte
	if loaded.KeyFile != "" {
		read, err := settings.ReadKey(loaded.KeyFile)
		if err != nil {
			return err
		}
		key = read
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	scope, reporter := newScope(loaded, log)
	metrics := fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
	use := func([]string) {}
	run := func(context.Context) error { return nil }
	switch loaded.Role {
	case settings.RoleEntry:
		daemon, err := entry.New(entry.Dependencies{
			Settings: loaded, Protocol: speaks(), Key: key, Clock: streams.Clock, Log: log, Scope: scope,
			Metrics: metrics,
		})
		if err != nil {
			return err
		}
		use, run = daemon.Watch, daemon.Run
	case settings.RoleState:
		daemon, err := hub.New(hub.Dependencies{
			Settings: loaded, Protocol: speaks(), Key: key, Clock: streams.Clock, Log: log, Scope: scope,
			Metrics: metrics,
		})
		if err != nil {
			return err
		}
		use, run = daemon.Watch, daemon.Run
	}
	following, end := context.WithCancel(context.Background())
	defer end()
	go followSettings(following, hangUps, given.settings, loaded, log, streams, use)
	return run(ctx)
}

// followSettings takes what may change while the daemon runs, on SIGHUP and when
// the file is another one: the log level and the addresses of the state
// replicas. Faulty settings change nothing.
func followSettings(ctx context.Context, hangUps <-chan os.Signal, file string, loaded *settings.Settings, log *logrus.Logger, streams Streams, use func([]string)) {
	ticker := streams.Clock.NewTicker(settingsInterval)
	defer ticker.Stop()
	var last []byte
	replicas, level := loaded.StateReplicas, loaded.Log.Level
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			last = nil
		case <-ticker.Chan():
		}
		text, err := os.ReadFile(file)
		if err != nil || bytes.Equal(text, last) {
			continue
		}
		last = text
		read, err := settings.Parse(text)
		if err != nil {
			log.Warnf("Settings: They are not taken again: %v.", err)
			continue
		}
		if parsed, err := logrus.ParseLevel(read.Log.Level); err == nil && read.Log.Level != level {
			level = read.Log.Level
			log.SetLevel(parsed)
		}
		if !slices.Equal(replicas, read.StateReplicas) {
			replicas = read.StateReplicas
			use(replicas)
			log.WithField("StateReplicas", replicas).Info("Settings: The state replicas are others.")
		}
	}
}
