package standin

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
)

// requestBody contains the fields of a request body that an engine evaluates. The
// whole body is the prompt.
type requestBody struct {
	// Tokens is the number of tokens in the response.
	Tokens int
}

// responseLength returns the number of tokens that a body requests, or fallback if
// it requests none.
func responseLength(body []byte, fallback int) int {
	var prompt requestBody
	if err := json.Unmarshal(body, &prompt); err != nil || prompt.Tokens <= 0 {
		return fallback
	}
	return prompt.Tokens
}

// tokenSeed returns the seed from which the tokens for a body are derived.
func tokenSeed(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// Token returns the token at offset in the response to body. All engines return
// the same tokens for a body.
func Token(body []byte, offset int) string {
	return token(tokenSeed(body), offset)
}

func token(seed uint64, offset int) string {
	mixed := (seed + uint64(offset)) * 0x9e3779b97f4a7c15
	return strconv.FormatUint(mixed>>40, 36)
}

// appendToken appends the JSON data of a token event.
func appendToken(dst []byte, text string) []byte {
	dst = append(dst, `{"Text":"`...)
	dst = append(dst, text...)
	return append(dst, `"}`...)
}
