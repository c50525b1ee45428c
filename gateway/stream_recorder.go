package gateway

// streamRecorder records a streamed response for its claim. A nil recorder
// records nothing.
type streamRecorder struct {
	exchange *exchange
	response StoredResponse
}

// newStreamRecorder returns a recorder for a request with an idempotency key,
// and nil otherwise.
func (x *exchange) newStreamRecorder(status int) *streamRecorder {
	if x.IdempotencyKey == "" {
		return nil
	}
	return &streamRecorder{exchange: x, response: StoredResponse{Status: status, ContentType: contentStream}}
}

// add records a part of the response. A response that exceeds the limit is
// truncated to nothing.
func (r *streamRecorder) add(part []byte) {
	if r == nil || r.response.Truncated {
		return
	}
	if len(r.response.Body)+len(part) > r.exchange.gateway.settings.maxStoredBytes {
		r.response.Body = nil
		r.response.Truncated = true
		return
	}
	r.response.Body = append(r.response.Body, part...)
}

// commitResponse commits the complete response.
func (r *streamRecorder) commitResponse() {
	if r != nil {
		r.exchange.storeResponse(r.response)
	}
}

// markInDoubt commits that the request may have run.
func (r *streamRecorder) markInDoubt() {
	if r != nil {
		r.exchange.markClaimInDoubt()
	}
}
