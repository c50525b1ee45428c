// Package logs builds the loggers of the parts, each with a fixed prefix.
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

// ErrUnknownFormat reports a log format other than "text" and "json".
var ErrUnknownFormat = errors.New("unknown log format")

// New returns a logger that writes to w. The level is one of logrus's names,
// the format "text" or "json".
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

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// partFormatter formats a part's lines as the base logger does, behind the
// part's prefix, while the base logger's level allows them. The level may change
// while the process runs.
type partFormatter struct {
	base   *logrus.Logger
	prefix string
}

// ForComponent returns a logger for one part of a host: every message starts with the
// part's name and a colon.
func ForComponent(base *logrus.Logger, part string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(base.Out)
	logger.SetLevel(logrus.TraceLevel)
	logger.SetFormatter(&partFormatter{base: base, prefix: part + ": "})
	return logger
}

// Format returns the line, or nothing below the base logger's level.
func (f *partFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	if !f.base.IsLevelEnabled(entry.Level) {
		return nil, nil
	}
	prefixed := *entry
	prefixed.Message = f.prefix + entry.Message
	return f.base.Formatter.Format(&prefixed)
}
