package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// Repeats of a request come with another ID, deadline and host; all else that a caller
// chooses tells requests apart.
func TestContentKey_EqualForRepeatsOnly(t *testing.T) {
	newRequest := func() *Request {
		return &Request{
			ID: "1", CallerID: "a", Workspace: "students", Body: []byte("balance of 4711"),
			Prompt:   &admission.Prompt{Parts: []admission.PromptPart{{Key: 1}, {Key: 2}}},
			Original: &target.OriginalRequest{Method: "POST", Host: "a.example", URI: "/look/1?x=2", Headers: []target.Header{{Name: "X-Attempt", Value: "a"}}},
		}
	}
	key := newRequest().contentKey()
	repeat := newRequest()
	repeat.ID, repeat.CallerID, repeat.Original.Headers = "2", "b", nil
	require.Equal(t, key, repeat.contentKey())
	for name, change := range map[string]func(*Request){
		"method":    func(r *Request) { r.Original.Method = "PUT" },
		"host name": func(r *Request) { r.Original.Host = "b.example" },
		"path":      func(r *Request) { r.Original.URI = "/look/2?x=2" },
		"query":     func(r *Request) { r.Original.URI = "/look/1?x=3" },
		"caller":    func(r *Request) { r.Workspace = "lawyers" },
		"prompt": func(r *Request) {
			r.Prompt = &admission.Prompt{Parts: []admission.PromptPart{{Key: 1}, {Key: 3}}}
		},
		"body":     func(r *Request) { r.Body = []byte("balance of 4712") },
		"boundary": func(r *Request) { r.Workspace, r.Body = "studentsb", []byte("alance of 4711") },
	} {
		other := newRequest()
		change(other)
		require.NotEqual(t, key, other.contentKey(), name)
	}
	native := &Request{Service: fleet.Service{Name: "Reviews"}, Call: fleet.Call{Name: "Ask"}, Chat: "c-17", Body: []byte("x")}
	otherChat := *native
	otherChat.Chat = "c-18"
	require.NotEqual(t, native.contentKey(), otherChat.contentKey())
}
