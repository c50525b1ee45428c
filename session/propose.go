package session

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// Propose commits a command through the leader and returns its result. Commands
// are idempotent, so Propose retries until ctx ends. The error wraps
// ErrOutcomeUnknown if the command may have been committed, and ErrNoLeader if
// it has not.
func (c *Client) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	data := registry.EncodeCommand(command)
	unknown := false
	for {
		result, uncertain, err := c.proposeOnce(ctx, data)
		if err == nil {
			return result, nil
		}
		unknown = unknown || uncertain
		if ctx.Err() != nil {
			if unknown {
				return registry.Result{}, errors.Wrapf(ErrOutcomeUnknown, "propose %T: %v", command, err)
			}
			return registry.Result{}, errors.Wrapf(ErrNoLeader, "propose %T: %v", command, err)
		}
		c.waitBackoff(ctx)
	}
}

// proposeOnce sends the command to one replica. uncertain is set if the command
// may be committed despite an error.
func (c *Client) proposeOnce(ctx context.Context, data []byte) (result registry.Result, uncertain bool, err error) {
	c.mu.Lock()
	address := c.currentAddress()
	c.mu.Unlock()
	ctx, cancel := clockwork.WithTimeout(ctx, c.config.Clock, proposeTimeout)
	defer cancel()
	answer, err := c.caller.Call(ctx, address, peer.ProposeRequest{Command: data})
	if err != nil {
		c.switchReplica(address, "")
		return registry.Result{}, true, errors.Wrapf(err, "propose at %s", address)
	}
	proposed, ok := answer.(peer.ProposeResponse)
	if !ok {
		return registry.Result{}, true, errors.Errorf("propose at %s: answer of type %T", address, answer)
	}
	if proposed.Code != peer.CodeDone {
		c.switchReplica(address, proposed.Leader)
		uncertain = proposed.Code == peer.CodeUnknown
		return registry.Result{}, uncertain, errors.Errorf("propose at %s: %s", address, proposed.Code)
	}
	result, err = registry.DecodeResult(proposed.Result)
	if err != nil {
		return registry.Result{}, true, errors.Wrap(err, "decode result")
	}
	return result, true, nil
}
