package entry

import (
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

const (
	// promptSizeWeight is the weight of the latest prompt in the mean sizes.
	promptSizeWeight = 0.02
	// promptCountInterval is how long a count of the prompts in use is used, and
	// promptInUsePeriod how long after its last request a prompt counts.
	promptCountInterval = time.Second
	promptInUsePeriod   = 5 * time.Second
	// slowPrefillRate is the number of prompt tokens per second that the slowest engines in
	// use prefill, and maxPrefillBacklog the time to prefill what this host has sent, beyond
	// which requests with more to prefill go to another engine.
	// A request with fewer than minBacklogTokens hardly waits for it.
	slowPrefillRate   = 48_000
	minBacklogTokens  = 2_000
	maxPrefillBacklog = 500 * time.Millisecond
)

// promptSizes averages the sizes of the prompts of a service.
type promptSizes struct {
	route.PromptSizes
	known     bool
	countedAt time.Time
}

// record adds a prompt.
func (p *promptSizes) record(prompt *admission.Prompt) {
	shared := 0
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		shared += part.Tokens
	}
	private, weight := float64(max(prompt.Tokens-shared, 0)), promptSizeWeight
	if !p.known {
		weight, p.known = 1, true
	}
	p.Private += (private - p.Private) * weight
	p.Shared += (float64(shared) - p.Shared) * weight
	p.Output += (float64(prompt.MaxOutputTokens) - p.Output) * weight
}

// prefillBacklog is the number of tokens that an engine still has to prefill, as far as
// this host has sent them.
type prefillBacklog struct {
	tokens float64
	at     time.Time
}

func (b *prefillBacklog) tokensAt(now time.Time) float64 {
	return max(b.tokens-now.Sub(b.at).Seconds()*slowPrefillRate, 0)
}

func (b *prefillBacklog) add(now time.Time, tokens int) {
	b.tokens, b.at = b.tokensAt(now)+float64(tokens), now
}

// engineRoom returns what tells whether engines of a service have room; its capacity is 0
// unless the configuration tells their memory. The caller must hold t.mu.
func (t *targetSelector) engineRoom(service *fleet.Service) route.EngineRoom {
	if service.Kind != fleet.KindModel || service.MemoryTokens <= 0 {
		return route.EngineRoom{}
	}
	room := route.EngineRoom{Capacity: service.MemoryTokens, Engines: len(t.byService[service.Name])}
	if sizes := t.promptSizes[service.Name]; sizes != nil {
		room.Sizes = sizes.PromptSizes
	}
	return room
}

// describeRoom sets whether a candidate is full.
func (s *targetState) describeRoom(now time.Time, room *route.EngineRoom, request *admission.Request, local *route.LocalTarget) {
	if room.Capacity == 0 {
		return
	}
	local.Full = local.SlotsInUse
	if request.Prompt == nil {
		return
	}
	missing := max(request.Prompt.Tokens-local.CachedTokens, 0)
	isBehind := s.backlog.tokensAt(now) > slowPrefillRate*maxPrefillBacklog.Seconds() && missing >= minBacklogTokens
	local.Full = local.Full || isBehind || room.Lacks(local.InFlight, missing+request.Prompt.MaxOutputTokens)
}

// recordPrompt records that a prompt is sent to an engine that is expected to have cached
// some tokens of it. The caller must hold t.mu.
func (t *targetSelector) recordPrompt(now time.Time, s *targetState, service *fleet.Service, prompt *admission.Prompt, cached int) {
	if service.MemoryTokens <= 0 {
		return
	}
	sizes := t.promptSizes[service.Name]
	if sizes == nil {
		sizes = &promptSizes{}
		t.promptSizes[service.Name] = sizes
	}
	sizes.record(prompt)
	if sizes.countedAt.IsZero() || now.Sub(sizes.countedAt) >= promptCountInterval {
		sizes.Prompts, sizes.countedAt = t.prefixCache.promptsInUse(now), now
	}
	s.backlog.add(now, max(prompt.Tokens-cached, 0))
}

// promptsInUse returns the number of shared prompts of recent requests.
func (p *prefixCacheIndex) promptsInUse(now time.Time) int {
	count := 0
	for _, last := range p.requests {
		if now.Sub(last.lastAt) <= promptInUsePeriod {
			count++
		}
	}
	return count
}
