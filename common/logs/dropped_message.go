package logs

import "github.com/sirupsen/logrus"

// DroppedMessage returns a function that logs a message to another host that can't be
// encoded.
func DroppedMessage[M any](log *logrus.Logger) func(host string, message M, err error) {
	return func(host string, message M, err error) {
		log.WithError(err).WithField("Host", host).Errorf("Message of type %T to %s can't be encoded and was dropped.", message, host)
	}
}
