package state

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// A command that was proposed when its replica stopped may yet be committed. If its
// proposer takes it for one without effect, a payment may be released twice.
func TestProposeCode_CommandInDoubtIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		code peer.Code
	}{
		"committed":                  {nil, peer.CodeDone},
		"stopped after the proposal": {errors.Join(quorum.ErrUnknownOutcome, quorum.ErrStopped), peer.CodeUnknown},
		"timed out":                  {errors.Join(quorum.ErrUnknownOutcome, context.DeadlineExceeded), peer.CodeUnknown},
		"leadership unclear":         {errors.Join(quorum.ErrNotLeader, quorum.ErrUnknownOutcome), peer.CodeUnknown},
		"stopped before":             {quorum.ErrStopped, peer.CodeNotLeader},
		"follower":                   {quorum.ErrNotLeader, peer.CodeNotLeader},
		"queue full":                 {quorum.ErrQueueFull, peer.CodeNotLeader},
		"any other error":            {errors.New("disk full"), peer.CodeUnknown},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.code, proposeCode(test.err)) })
	}
}
