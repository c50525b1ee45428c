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

// relayStreams is the number of streams at once in BenchmarkRelayParallel.
const relayStreams = 16

// relayTokens is the length of a benchmarked answer.
const relayTokens = 256

// relayRounds is the number of answers for each iteration, so that one iteration
// already gives steady figures.
const relayRounds = 100

const relayBody = `{"Tokens":256,"Prompt":"dossier 17"}`

// BenchmarkRelay compares a stream through the gateway with the same stream
// read from the engine directly, in turns. It reports the share of the direct
// throughput, and the time that a hop adds to a request and to a chunk, by the
// medians.
func BenchmarkRelay(b *testing.B) {
	bench := newFixture(b)
	engine := bench.engine(standin.EngineSettings{Name: "engine-1"})
	direct := func(body string) { readStream(b, bench.client, engine.Address(), body) }
	through := func(body string) { readStream(b, bench.client, bench.address, body) }

	var times [4][]time.Duration
	for range b.N * relayRounds {
		for i, run := range []func(){
			func() { direct(relayBody) },
			func() { through(relayBody) },
			func() { direct(`{"Tokens":1}`) },
			func() { through(`{"Tokens":1}`) },
		} {
			times[i] = append(times[i], timed(run))
		}
	}
	hop := median(times[3]) - median(times[2])
	b.ReportMetric(median(times[0])/median(times[1]), "through/direct")
	b.ReportMetric(hop, "added-µs/hop")
	b.ReportMetric((median(times[1])-median(times[0])-hop)/(relayTokens-1), "added-µs/chunk")
}

// median returns the median in microseconds.
func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Nanoseconds()) / float64(time.Microsecond)
}

// BenchmarkRelayParallel compares the throughput of many streams at once.
func BenchmarkRelayParallel(b *testing.B) {
	bench := newFixture(b)
	engine := bench.engine(standin.EngineSettings{Name: "engine-1"})
	var elapsed [2]time.Duration
	for i, address := range []string{engine.Address(), bench.address} {
		elapsed[i] = timed(func() { readTogether(b, bench.client, address, b.N*relayRounds) })
	}
	tokens := float64(b.N * relayRounds * relayStreams * relayTokens)
	b.ReportMetric(float64(elapsed[0])/float64(elapsed[1]), "through/direct")
	b.ReportMetric(tokens/elapsed[1].Seconds(), "tokens/s")
}

// readTogether reads rounds streams one after the other, in each of several
// goroutines.
func readTogether(b *testing.B, client *http.Client, address string, rounds int) {
	var group sync.WaitGroup
	for range relayStreams {
		group.Go(func() {
			for range rounds {
				readStream(b, client, address, relayBody)
			}
		})
	}
	group.Wait()
}

func timed(run func()) time.Duration {
	start := time.Now()
	run()
	return time.Since(start)
}

// readStream reads a whole stream from the gateway or from an engine, by the
// same client.
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
