package gateway

// record keeps a streamed answer for its claim. A nil record keeps nothing.
type record struct {
	visit  *visit
	answer Answer
}

// newRecord returns a record for a request with a key, nil for one without.
func (v *visit) newRecord(status int) *record {
	if v.key == "" {
		return nil
	}
	return &record{visit: v, answer: Answer{Status: status, ContentType: contentStream}}
}

// add keeps a part of the answer, until it is too long.
func (r *record) add(part []byte) {
	if r == nil || r.answer.Truncated {
		return
	}
	if len(r.answer.Body)+len(part) > r.visit.gateway.settings.storedBytes {
		r.answer.Body = nil
		r.answer.Truncated = true
		return
	}
	r.answer.Body = append(r.answer.Body, part...)
}

// done commits the whole answer.
func (r *record) done() {
	if r != nil {
		r.visit.store(r.answer)
	}
}

// failed commits that the request may have run.
func (r *record) failed() {
	if r != nil {
		r.visit.doubtClaim()
	}
}
