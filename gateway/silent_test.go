package gateway

import (
	"bufio"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// lossy puts a relay that can lose connections before a target.
func (b *fixture) lossy(address string) *standin.Blackhole {
	hole, err := standin.NewBlackhole(address)
	require.NoError(b.t, err)
	b.t.Cleanup(hole.Close)
	b.admitter.mu.Lock()
	defer b.admitter.mu.Unlock()
	b.admitter.targets[len(b.admitter.targets)-1].Address = hole.Address()
	return hole
}

func TestIdempotentWorkMovesFromASilentConnectionToANewOne(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	b.get("Treasury/Balance", `{}`)
	require.Equal(t, 1, hole.Accepted())
	b.get("Treasury/Balance", `{}`)
	require.Equal(t, 1, hole.Accepted(), "the connection is used again")

	hole.LoseOpen()
	status, _ := b.get("Treasury/Balance", `{}`, HeaderKey, "ask")
	require.Equal(t, 200, status)
	eventually(t, func() bool { return hole.Accepted() == 1+2 }, "one more to stop the lost request and one to ask again")
	require.Equal(t, 1, plain.Runs("ask"))
}

func TestAPaymentNeverGoesOnAnOldConnection(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	b.get("Treasury/Balance", `{}`)
	hole.LoseOpen()
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.Runs("pay-1"))
	require.Equal(t, 2, hole.Accepted())
}

func TestAStreamOnAConnectionThatGoesSilentIsResumed(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", Gap: 20 * time.Millisecond})
	hole := b.lossy(engine.Address())
	response := b.post("Reviews/Draft", dossier)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	hole.LoseOpen()
	var rest strings.Builder
	rest.WriteString(line)
	_, err = reader.WriteTo(&rest)
	require.NoError(t, err)
	stream := parseStream(t, rest.String())
	require.Equal(t, wantTokens(dossier, 12), stream.tokens)
	require.NotEmpty(t, stream.end)
	require.Equal(t, int64(1), b.counter("resumed_streams"))
}

func TestStreamsMoveFromAnEngineThatDies(t *testing.T) {
	const streams = 30
	b := newFixture(t)
	dying := b.engine(standin.EngineSettings{Name: "engine-1", Gap: 10 * time.Millisecond})
	b.engine(standin.EngineSettings{Name: "engine-2"})
	var group sync.WaitGroup
	var whole atomic.Int64
	for range streams {
		group.Go(func() {
			text, err := read(b.post("Reviews/Draft", dossier))
			stream := parseStream(t, text)
			if err == nil && stream.end != "" && slices.Equal(wantTokens(dossier, 12), stream.tokens) {
				whole.Add(1)
			}
		})
	}
	eventually(t, func() bool { return dying.InFlight() == streams }, "the engine is at work")
	dying.Close()
	group.Wait()
	require.Equal(t, int64(streams), whole.Load())
}

func TestATargetThatIsSilentAltogetherIsGivenUp(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	hole.LoseAll(true)
	status, text := b.get("Treasury/Balance", `{}`)
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Zero(t, plain.Total())
}
