package gateway

import (
	"testing"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

func TestStream_CompleteResponse(t *testing.T) {
	f := newFixture(t)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", DefaultTokens: 20})
	const body = `{"Tokens":20,"Prompt":"dossier 17"}`

	response := f.post("Reviews/Draft", body, HeaderChat, "c-17", HeaderRequest, "mine-1")
	text, err := readBody(response)
	require.NoError(t, err)
	stream := parseStream(t, text)
	require.Equal(t, expectedTokens(body, 20), stream.tokens)
	require.JSONEq(t, `{"Request":"mine-1","Events":20,"Target":"engine-1","Warm":false}`, stream.end)
	require.Equal(t, "mine-1", response.Header.Get(HeaderRequest))
	require.Equal(t, "engine-1", response.Header.Get(HeaderTarget))
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
	require.Equal(t, []admission.Outcome{admission.OutcomeDone}, f.admitter.outcomes())

	text, err = readBody(f.post("Reviews/Draft", body, HeaderChat, "c-17"))
	require.NoError(t, err)
	require.Contains(t, parseStream(t, text).end, `"Warm":true`)
	require.Equal(t, 1, engine.Stats().CacheHits)
}

func TestPlainCall_CompleteResponse(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")

	status, text := f.postAndRead("Treasury/Pay", `{"Amount":3}`, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"Service":"Treasury","Call":"Pay","Key":"pay-1","Run":1}`, text)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))

	response := f.post("Treasury/Pay", `{"Amount":3}`, HeaderIdempotencyKey, "pay-1")
	again, err := readBody(response)
	require.NoError(t, err)
	require.Equal(t, text, again)
	require.Equal(t, "true", response.Header.Get(HeaderReplayed))
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
}
