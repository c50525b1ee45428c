package admission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

// Config is what the operators' text and the outages say of one service.
type Config struct {
	Service    fleet.Service
	Workspaces []fleet.Workspace
	// DomainsOut and TargetsOut name the failure domains and targets that get
	// no new work.
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

// firstChoices is the number of targets in rendezvous order among which a chat
// without a warm target takes the least loaded.
const firstChoices = 2

type options struct {
	scope        tally.Scope
	suspectAfter time.Duration
	goneAfter    time.Duration
	permitValid  time.Duration
	noTargetWait time.Duration
	warmWait     time.Duration
	chats        int
	chatAge      time.Duration
	first        int
	choose       func(*route.Query, []route.Candidate) route.Choice
}

func defaults() options {
	return options{
		scope:        tally.NoopScope,
		suspectAfter: DefaultSuspectAfter,
		goneAfter:    DefaultGoneAfter,
		permitValid:  DefaultPermitValidity,
		noTargetWait: DefaultNoTargetWait,
		warmWait:     DefaultWarmWait,
		chats:        DefaultMaxChats,
		chatAge:      DefaultMaxChatAge,
		first:        firstChoices,
		choose:       route.Choose,
	}
}

// Option changes a default of a Service.
type Option func(*options)

// WithScope reports metrics below scope.
func WithScope(scope tally.Scope) Option {
	return func(o *options) { o.scope = scope }
}

// WithHeartbeat sets how long a target may be silent before it is suspect and
// before it is gone.
func WithHeartbeat(suspectAfter, goneAfter time.Duration) Option {
	return func(o *options) {
		o.suspectAfter = suspectAfter
		o.goneAfter = goneAfter
	}
}

// WithPermitValidity sets how long a permit may be used after it was asked for.
func WithPermitValidity(valid time.Duration) Option {
	return func(o *options) { o.permitValid = valid }
}

// WithNoTargetWait sets how long a request waits while no target may take work.
func WithNoTargetWait(wait time.Duration) Option {
	return func(o *options) { o.noTargetWait = wait }
}

// WithWarmWait sets how long a request whose turn has come waits for the target
// where its chat is warm, while that is full, before it goes elsewhere.
func WithWarmWait(wait time.Duration) Option {
	return func(o *options) { o.warmWait = wait }
}

// WithChatLimits bounds the memory of chats by count and by age.
func WithChatLimits(count int, age time.Duration) Option {
	return func(o *options) {
		o.chats = count
		o.chatAge = age
	}
}
