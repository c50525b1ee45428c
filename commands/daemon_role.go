package commands

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"slices"
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

// settingsPollInterval is the interval at which the settings file is read again, since
// it may be changed without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// errUnknownProtocol is returned for settings with an unknown protocol.
var errUnknownProtocol = errors.New("unknown protocol")

// protocols are the protocols of the roles Entry and State, by their name in the
// settings.
var protocols = map[string]func() protocol.Protocol{
	platform.ProtocolName: platform.Protocol,
}

// runtimeMemoryShare is the share of the memory of a machine above which the garbage collector
// works harder. The rest is for what it does not count, such as the program itself.
const runtimeMemoryShare = 0.7

// limitRuntimeMemory sets the soft memory limit of the runtime on a machine with megabytes of
// memory. By default a collection begins only when the memory in use has doubled, which is more
// than a small machine has.
func limitRuntimeMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(megabytes<<20)))
	}
}

// runRole runs a daemon of the role Entry or State until ctx ends.
func runRole(ctx context.Context, args daemonArguments, loaded *settings.Settings, log *logrus.Logger, hangups <-chan os.Signal, streams Streams) error {
	newProtocol, known := protocols[loaded.Protocol]
	if !known {
		return errors.Wrapf(errUnknownProtocol, "%q", loaded.Protocol)
	}
	var key []byte
	if loaded.KeyFile != "" {
		read, err := settings.ReadKey(loaded.KeyFile)
		if err != nil {
			return err
		}
		key = read
	}
	limitRuntimeMemory(loaded.Memory)
	scope, reporter := newScope(loaded, log)
	metrics := fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
	setReplicas := func([]string) {}
	run := func(context.Context) error { return nil }
	switch loaded.Role {
	case settings.RoleEntry:
		daemon, err := entry.New(entry.Dependencies{
			Settings: loaded, Protocol: newProtocol(), Key: key, Clock: streams.Clock, Log: log, Scope: scope,
			Metrics: metrics,
		})
		if err != nil {
			return err
		}
		setReplicas, run = daemon.SetStateReplicas, daemon.Run
	case settings.RoleState:
		daemon, err := hub.New(hub.Dependencies{
			Settings: loaded, Protocol: newProtocol(), Key: key, Clock: streams.Clock, Log: log, Scope: scope,
			Metrics: metrics,
		})
		if err != nil {
			return err
		}
		setReplicas, run = daemon.SetStateReplicas, daemon.Run
	}
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go watchSettings(watchCtx, hangups, args.settings, loaded, log, streams, setReplicas)
	return run(ctx)
}

// watchSettings reloads the settings on SIGHUP and when the content of the file
// changes. It applies the settings that may change while the daemon runs: the log
// level and the addresses of the state replicas. Invalid settings are logged and
// ignored.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, file string, loaded *settings.Settings, log *logrus.Logger, streams Streams, setReplicas func([]string)) {
	ticker := streams.Clock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastContent []byte
	replicas, level := loaded.StateReplicas, loaded.Log.Level
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			lastContent = nil
		case <-ticker.Chan():
		}
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, lastContent) {
			continue
		}
		lastContent = content
		reloaded, err := settings.Parse(content)
		if err != nil {
			log.Warnf("Settings: Failed to reload the settings: %v.", err)
			continue
		}
		if parsed, err := logrus.ParseLevel(reloaded.Log.Level); err == nil && reloaded.Log.Level != level {
			level = reloaded.Log.Level
			log.SetLevel(parsed)
		}
		if !slices.Equal(replicas, reloaded.StateReplicas) {
			replicas = reloaded.StateReplicas
			setReplicas(replicas)
			log.WithField("StateReplicas", replicas).Info("Settings: The addresses of the state replicas have changed.")
		}
	}
}
