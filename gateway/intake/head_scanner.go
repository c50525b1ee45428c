package intake

import "bytes"

// maxLeadingBytes limits the empty lines before a request. Clients send at most one after the
// body of the request before.
const maxLeadingBytes = 16

// headScanner finds the end of a head and counts its lines, in linear time.
type headScanner struct {
	// leading is the number of bytes of empty lines before the request.
	leading int
	// lines is the number of complete lines.
	lines int
	// lineBytes is the number of bytes of the current line; isReturn is set if its only byte
	// is a carriage return.
	lineBytes int
	isReturn  bool
	hasBegun  bool
	hasEnded  bool
}

// skipLeading removes the empty lines before the request and returns the rest.
func (s *headScanner) skipLeading(p []byte) []byte {
	for !s.hasBegun && len(p) > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.leading++
		p = p[1:]
	}
	s.hasBegun = s.hasBegun || len(p) > 0
	return p
}

// isOverLeading reports whether there are too many empty lines before the request.
func (s *headScanner) isOverLeading() bool { return s.leading > maxLeadingBytes }

// scan reads the next bytes of the head, and what follows it.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.hasEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.isReturn = s.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
			s.lineBytes += len(p)
			return
		}
		line := p[:end]
		s.hasEnded = (s.lineBytes == 0 && (len(line) == 0 || (len(line) == 1 && line[0] == '\r'))) ||
			(s.lineBytes == 1 && s.isReturn && len(line) == 0)
		s.lines++
		s.lineBytes, s.isReturn = 0, false
		p = p[end+1:]
	}
}
