// Package logs creates loggers for the components of a process, each with its own
// message prefix, and an output that never blocks them.
//
// # Usage
//
//	base, err := logs.New(os.Stderr, "info", "text")
//	routes := logs.ForComponent(base, "Route")
//	routes.Info("Chat c-17 goes to engine-3.")
package logs

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// ErrUnknownFormat is returned for a log format other than "text" and "json".
var ErrUnknownFormat = errors.New("unknown log format")

// New returns a logger that writes to w. The level is a logrus level name, and the
// format is "text" or "json".
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "parse log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	switch format {
	case "text":
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, errors.Wrapf(ErrUnknownFormat, "log format %q", format)
	}
	return logger, nil
}

// Discard returns a logger without output.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// componentFormatter adds a prefix to messages and applies the formatter and the
// level of the base logger. The level is checked for each entry because it may
// change at runtime.
type componentFormatter struct {
	base   *logrus.Logger
	prefix string
}

// ForComponent returns a logger that starts every message with the component's name
// and a colon. It follows later changes of the base logger's level.
func ForComponent(base *logrus.Logger, component string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(base.Out)
	logger.SetLevel(logrus.TraceLevel)
	logger.SetFormatter(&componentFormatter{base: base, prefix: component + ": "})
	return logger
}

// Format returns the formatted line, or nil if the base logger's level disables it.
func (f *componentFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if !f.base.IsLevelEnabled(entry.Level) {
		return nil, nil
	}
	prefixed := *entry
	prefixed.Message = f.prefix + entry.Message
	return f.base.Formatter.Format(&prefixed)
}
