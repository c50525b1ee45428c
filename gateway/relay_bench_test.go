package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// concurrentStreams is the number of concurrent streams in
// BenchmarkRelayParallel.
const concurrentStreams = 16

// tokensPerStream is the number of tokens in a response.
const tokensPerStream = 256

// roundsPerIteration is the number of responses per iteration, so that a single
// iteration gives stable results.
const roundsPerIteration = 100

const relayBody = `{"Tokens":256,"Prompt":"dossier 17"}`

// BenchmarkRelay compares a stream through the gateway with the same stream
// read directly from the engine, alternating between them. From the medians it
// reports the throughput relative to the direct stream, and the latency added
// by the hop per request and per chunk.
func BenchmarkRelay(b *testing.B) {
	bench := newFixture(b)
	engine := bench.addEngine(standin.EngineSettings{Name: "engine-1"})
	direct := func(body string) { readStream(b, bench.client, engine.Address(), body) }
	through := func(body string) { readStream(b, bench.client, bench.address, body) }

	var times [4][]time.Duration
	for range b.N * roundsPerIteration {
		for i, run := range []func(){
			func() { direct(relayBody) },
			func() { through(relayBody) },
			func() { direct(`{"Tokens":1}`) },
			func() { through(`{"Tokens":1}`) },
		} {
			times[i] = append(times[i], measure(run))
		}
	}
	hop := median(times[3]) - median(times[2])
	b.ReportMetric(median(times[0])/median(times[1]), "through/direct")
	b.ReportMetric(hop, "added-µs/hop")
	b.ReportMetric((median(times[1])-median(times[0])-hop)/(tokensPerStream-1), "added-µs/chunk")
}

// median returns the median in microseconds.
func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Nanoseconds()) / float64(time.Microsecond)
}

// BenchmarkRelayParallel compares the throughput of concurrent streams.
func BenchmarkRelayParallel(b *testing.B) {
	bench := newFixture(b)
	engine := bench.addEngine(standin.EngineSettings{Name: "engine-1"})
	var elapsed [2]time.Duration
	for i, address := range []string{engine.Address(), bench.address} {
		elapsed[i] = measure(func() { readConcurrently(b, bench.client, address, b.N*roundsPerIteration) })
	}
	tokens := float64(b.N * roundsPerIteration * concurrentStreams * tokensPerStream)
	b.ReportMetric(float64(elapsed[0])/float64(elapsed[1]), "through/direct")
	b.ReportMetric(tokens/elapsed[1].Seconds(), "tokens/s")
}

// readConcurrently reads the given number of consecutive streams in each of
// several goroutines.
func readConcurrently(b *testing.B, client *http.Client, address string, rounds int) {
	var group sync.WaitGroup
	for range concurrentStreams {
		group.Go(func() {
			for range rounds {
				readStream(b, client, address, relayBody)
			}
		})
	}
	group.Wait()
}

func measure(run func()) time.Duration {
	start := time.Now()
	run()
	return time.Since(start)
}

// readStream reads a complete stream from the gateway or from an engine, using
// the same client for both.
func readStream(b *testing.B, client *http.Client, address, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+PathServices+"Reviews/Draft", strings.NewReader(body))
	require.NoError(b, err)
	request.Header.Set(HeaderWorkspace, "Students")
	request.Header.Set(HeaderRequest, "request-1")
	request.Header.Set("Accept", contentStream)
	response, err := client.Do(request)
	require.NoError(b, err)
	defer response.Body.Close()
	require.Equal(b, 200, response.StatusCode)
	reader := web.NewEventReader(bufio.NewReader(response.Body))
	for {
		_, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(b, err)
	}
}
