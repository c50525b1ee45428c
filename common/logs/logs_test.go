package logs

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func TestForComponentAddsPrefix(t *testing.T) {
	var out bytes.Buffer
	base, err := New(&out, "info", "text")
	require.NoError(t, err)

	ForComponent(base, "Route").Info("Chat c-17 goes to engine-3.")
	require.Contains(t, out.String(), `msg="Route: Chat c-17 goes to engine-3."`)
}

func TestNew_UnknownLevelOrFormat(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud", "text")
	require.Error(t, err)
	_, err = New(&bytes.Buffer{}, "info", "xml")
	require.ErrorIs(t, err, ErrUnknownFormat)
}

func TestForComponentFollowsBaseLevel(t *testing.T) {
	var out bytes.Buffer
	base, err := New(&out, "info", "text")
	require.NoError(t, err)
	component := ForComponent(base, "Route")
	component.Debug("hidden")
	require.Empty(t, out.String())
	base.SetLevel(logrus.DebugLevel)
	component.Debug("shown")
	require.Contains(t, out.String(), "Route: shown")
}
