package conn

import "github.com/go-faster/errors"

// ErrAborted reports a connection that was reset or has timed out.
var ErrAborted = errors.New("connection aborted")
