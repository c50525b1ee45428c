package gateway

// record keeps a streamed answer for its claim. A nil record keeps nothing.
type record struct {
	exchange *exchange
	answer   StoredResponse
}

// newRecord returns a record for a request with a key, nil for one without.
func (x *exchange) newRecord(status int) *record {
	if x.IdempotencyKey == "" {
		return nil
	}
	return &record{exchange: x, answer: StoredResponse{Status: status, ContentType: contentStream}}
}

// add keeps a part of the answer, until it is too long.
func (r *record) add(part []byte) {
	if r == nil || r.answer.Truncated {
		return
	}
	if len(r.answer.Body)+len(part) > r.exchange.gateway.settings.storedBytes {
		r.answer.Body = nil
		r.answer.Truncated = true
		return
	}
	r.answer.Body = append(r.answer.Body, part...)
}

// done commits the whole answer.
func (r *record) done() {
	if r != nil {
		r.exchange.store(r.answer)
	}
}

// failed commits that the request may have run.
func (r *record) failed() {
	if r != nil {
		r.exchange.doubtClaim()
	}
}
