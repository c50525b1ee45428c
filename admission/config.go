package admission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

// Config is the operators' configuration of one service, with the current outages.
type Config struct {
	Service    fleet.Service
	Workspaces []fleet.Workspace
	// DomainsOut and TargetsOut name the failure domains and targets that are taken
	// out of service and get no new requests.
	DomainsOut map[string]bool
	TargetsOut map[string]bool
}

// The defaults of the options.
const (
	DefaultSuspectAfter            = 3 * time.Second
	DefaultGoneAfter               = 15 * time.Second
	DefaultForgetAfter             = 10 * time.Minute
	DefaultPermitValidity          = time.Second
	DefaultNoTargetWait            = 2 * time.Second
	DefaultWarmWait                = 500 * time.Millisecond
	DefaultQueueWait               = 30 * time.Second
	DefaultQueueLength             = 1024
	DefaultMaxChats                = 250_000
	DefaultMaxChatAge              = 24 * time.Hour
	DefaultCircuitFailureThreshold = 3
	DefaultCircuitMinBackoff       = time.Second
	DefaultCircuitMaxBackoff       = 30 * time.Second
)

// rendezvousChoices is the number of targets in rendezvous order of which a chat
// without a warm target gets the least loaded.
const rendezvousChoices = 2

type options struct {
	scope          tally.Scope
	suspectAfter   time.Duration
	goneAfter      time.Duration
	permitValidity time.Duration
	noTargetWait   time.Duration
	warmWait       time.Duration
	maxChats       int
	maxChatAge     time.Duration
	choices        int
	choose         func(*route.Query, []route.Candidate) route.Choice
}

func defaultOptions() options {
	return options{
		scope:          tally.NoopScope,
		suspectAfter:   DefaultSuspectAfter,
		goneAfter:      DefaultGoneAfter,
		permitValidity: DefaultPermitValidity,
		noTargetWait:   DefaultNoTargetWait,
		warmWait:       DefaultWarmWait,
		maxChats:       DefaultMaxChats,
		maxChatAge:     DefaultMaxChatAge,
		choices:        rendezvousChoices,
		choose:         route.Choose,
	}
}

// Option changes a default of a Controller.
type Option func(*options)

// WithScope reports metrics in a subscope of scope.
func WithScope(scope tally.Scope) Option {
	return func(o *options) { o.scope = scope }
}

// WithHeartbeat sets the time without a message after which a target is suspect, and
// after which it is gone.
func WithHeartbeat(suspectAfter, goneAfter time.Duration) Option {
	return func(o *options) {
		o.suspectAfter = suspectAfter
		o.goneAfter = goneAfter
	}
}

// WithPermitValidity sets how long a permit may be used after it was granted.
func WithPermitValidity(valid time.Duration) Option {
	return func(o *options) { o.permitValidity = valid }
}

// WithNoTargetWait sets how long a request waits while no target admits requests.
func WithNoTargetWait(wait time.Duration) Option {
	return func(o *options) { o.noTargetWait = wait }
}

// WithWarmWait sets how long the request at the head of the queue waits for the target
// where its chat is warm, while that target is full, before it may run on another.
func WithWarmWait(wait time.Duration) Option {
	return func(o *options) { o.warmWait = wait }
}

// WithChatLimits bounds the chats whose locations are kept, by count and by age.
func WithChatLimits(count int, age time.Duration) Option {
	return func(o *options) {
		o.maxChats = count
		o.maxChatAge = age
	}
}
