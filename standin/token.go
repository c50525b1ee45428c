package standin

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
)

// promptBody is what an engine reads of a request body; anything else in it is
// part of the prompt.
type promptBody struct {
	// DefaultTokens is the length of the answer.
	Tokens int
}

// promptLength returns the answer's length that a body asks for, or fallback.
func promptLength(body []byte, fallback int) int {
	var prompt promptBody
	if err := json.Unmarshal(body, &prompt); err != nil || prompt.Tokens <= 0 {
		return fallback
	}
	return prompt.Tokens
}

// promptHash is the seed of a prompt's tokens.
func promptHash(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// Token returns the token at offset of the answer to body. Every engine
// answers a body with the same tokens.
func Token(body []byte, offset int) string {
	return token(promptHash(body), offset)
}

func token(seed uint64, offset int) string {
	mixed := (seed + uint64(offset)) * 0x9e3779b97f4a7c15
	return strconv.FormatUint(mixed>>40, 36)
}

// appendToken appends the data of a token event.
func appendToken(dst []byte, text string) []byte {
	dst = append(dst, `{"Text":"`...)
	dst = append(dst, text...)
	return append(dst, `"}`...)
}
