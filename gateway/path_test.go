package gateway

import (
	"testing"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

func TestAStreamArrivesWhole(t *testing.T) {
	b := newFixture(t)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", DefaultTokens: 20})
	const body = `{"Tokens":20,"Prompt":"dossier 17"}`

	response := b.post("Reviews/Draft", body, HeaderChat, "c-17", HeaderRequest, "mine-1")
	text, err := read(response)
	require.NoError(t, err)
	stream := parseStream(t, text)
	require.Equal(t, wantTokens(body, 20), stream.tokens)
	require.JSONEq(t, `{"Request":"mine-1","Events":20,"Target":"engine-1","Warm":false}`, stream.end)
	require.Equal(t, "mine-1", response.Header.Get(HeaderRequest))
	require.Equal(t, "engine-1", response.Header.Get(HeaderTarget))
	eventually(t, func() bool { return len(b.admitter.outcomes()) == 1 }, "the permit is released")
	require.Equal(t, []admission.Outcome{admission.OutcomeDone}, b.admitter.outcomes())

	text, err = read(b.post("Reviews/Draft", body, HeaderChat, "c-17"))
	require.NoError(t, err)
	require.Contains(t, parseStream(t, text).end, `"Warm":true`)
	require.Equal(t, 1, engine.Stats().CacheHits)
}

func TestAPlainAnswerArrivesWhole(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")

	status, text := b.get("Treasury/Pay", `{"Amount":3}`, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"Service":"Treasury","Call":"Pay","Key":"pay-1","Run":1}`, text)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))

	response := b.post("Treasury/Pay", `{"Amount":3}`, HeaderKey, "pay-1")
	again, err := read(response)
	require.NoError(t, err)
	require.Equal(t, text, again)
	require.Equal(t, "true", response.Header.Get(HeaderReplayed))
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
}
