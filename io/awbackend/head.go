package awbackend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"arbutuswind/io/awhttp"
)

// maxHeaderBytes limits the header of one response. A backend server in trouble may send
// bytes without end.
const maxHeaderBytes = 64 << 10

var errHeaderTooLong = errors.New("response header exceeds the size limit")

// headerReader keeps what is read while a header is read, and fails when more than
// maxHeaderBytes have arrived.
type headerReader struct {
	r        io.Reader
	inHeader bool
	raw      []byte // what has arrived since the header began
}

// Read implements [io.Reader].
func (h *headerReader) Read(p []byte) (int, error) {
	if !h.inHeader {
		return h.r.Read(p)
	}
	if len(h.raw) > maxHeaderBytes {
		return 0, errHeaderTooLong
	}
	n, err := h.r.Read(p)
	h.raw = append(h.raw, p[:n]...)
	return n, err
}

// readHeader reads the header of the next response and checks it.
func (c *conn) readHeader(method string) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // fails only for more than that
	c.header.inHeader, c.header.raw = true, bytes.Clone(buffered)
	defer func() { c.header.inHeader, c.header.raw = false, nil }()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := awhttp.CheckResponse(resp); err != nil {
		return nil, err
	}
	read := len(c.header.raw) - c.br.Buffered()
	return resp, checkHeader(c.header.raw[:read], resp)
}

// checkHeader checks what [http.Response] does not show: lines that are folded into the
// value of the field before, and chunks together with a length or in a version without
// chunks. A gateway may discard such responses, by RFC 9112, sections 5.2 and 6.1.
func checkHeader(header []byte, resp *http.Response) error {
	var hasLength, hasCoding bool
	for line := range bytes.Lines(header) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return fmt.Errorf("%w: folded line", awhttp.ErrMalformedResponse)
		case strings.EqualFold(string(name), "Content-Length"):
			hasLength = true
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			hasCoding = true
		}
	}
	if hasCoding && (hasLength || !resp.ProtoAtLeast(1, 1)) {
		return fmt.Errorf("%w: ambiguous length", awhttp.ErrMalformedResponse)
	}
	return nil
}
