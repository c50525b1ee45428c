package gateway

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"comfreytiller.dev/common/head"
)

// CheckFraming returns the refusal of a request with an ambiguous end, and nil for others. What
// follows such a request on its connection is not read.
func CheckFraming(ctx *fasthttp.RequestCtx) *Failure {
	raw := ctx.Request.Header.RawHeaders()
	if len(raw) == 0 {
		// The request has no fields, or a program has made it.
		return nil
	}
	problem := framingProblem(raw)
	if problem == "" {
		return nil
	}
	ctx.SetConnectionClose()
	return failure(fasthttp.StatusBadRequest, CodeBadRequest, problem)
}

// framingProblem returns why the framing of a request body is ambiguous, or "" if it
// is not. Servers that disagree on where a body ends are open to request smuggling. The library
// takes names with blanks, folded lines and an end of the head with a bare line feed.
func framingProblem(raw []byte) string {
	if err := head.CheckFields(raw); err != nil {
		return err.Error()
	}
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return "the transfer encoding is not supported"
			}
		}
	}
	if lengths+encodings > 1 {
		return "more than one length of the body"
	}
	return ""
}
