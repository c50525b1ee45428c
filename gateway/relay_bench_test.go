package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// relayTokens is the length of a benchmarked answer.
const relayTokens = 256

const relayBody = `{"Tokens":256,"Prompt":"dossier 17"}`

// BenchmarkRelay compares a stream through the gateway with the same stream
// read from the engine directly, in turns. It reports the share of the direct
// throughput, and the time that a hop adds to a request and to a chunk.
func BenchmarkRelay(b *testing.B) {
	bench := newBench(b)
	engine := bench.engine(standin.EngineSettings{Name: "engine-1"})
	direct := func(body string) { readStream(b, bench.client, engine.Address(), body) }
	through := func(body string) { readStream(b, bench.client, bench.address, body) }

	var times [4]time.Duration
	for range b.N {
		times[0] += timed(func() { direct(relayBody) })
		times[1] += timed(func() { through(relayBody) })
		times[2] += timed(func() { direct(`{"Tokens":1}`) })
		times[3] += timed(func() { through(`{"Tokens":1}`) })
	}
	perOp := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(b.N) }
	hop := perOp(times[3] - times[2])
	b.ReportMetric(float64(times[0])/float64(times[1]), "through/direct")
	b.ReportMetric(hop, "added-µs/hop")
	b.ReportMetric((perOp(times[1]-times[0])-hop)/(relayTokens-1), "added-µs/chunk")
}

// BenchmarkRelayParallel compares the throughput of many streams at once.
func BenchmarkRelayParallel(b *testing.B) {
	bench := newBench(b)
	engine := bench.engine(standin.EngineSettings{Name: "engine-1"})
	var elapsed [2]time.Duration
	for i, run := range []func(){
		func() { readStream(b, bench.client, engine.Address(), relayBody) },
		func() { readStream(b, bench.client, bench.address, relayBody) },
	} {
		elapsed[i] = timed(func() {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					run()
				}
			})
		})
	}
	b.ReportMetric(float64(elapsed[0])/float64(elapsed[1]), "through/direct")
	b.ReportMetric(float64(b.N*relayTokens)/elapsed[1].Seconds(), "tokens/s")
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
