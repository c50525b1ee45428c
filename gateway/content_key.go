package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// contentKey returns a hash of what a request and its repeats have in common: method,
// path with query, workspace, chat, prompt and body. Callers choose a new ID for each repeat, and
// targets get other headers from each host, so that these do not count.
func (r *Request) contentKey() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	add := func(field string) {
		// Writing to a digest can't fail. The end mark keeps fields apart.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	if r.Original != nil {
		add(r.Original.Method)
		add(r.Original.Host)
		add(r.Original.URI)
	} else {
		add(r.Service.Name)
		add(r.Call.Name)
	}
	add(r.Workspace)
	add(r.Chat)
	if r.Prompt != nil {
		for _, part := range r.Prompt.Parts {
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, part.Key))
		}
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}
