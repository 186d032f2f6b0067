package awhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"

	"arbutuswind/core/awoutcome"
)

var (
	// ErrInvalidStatus is the error of a response whose status is not that of a final
	// response. Its request may have been carried out.
	ErrInvalidStatus = errors.New("status is none of HTTP")
	// ErrMalformedResponse is the error of a response that violates RFC 9112 in a way that
	// net/http accepts. Its request may have been carried out.
	ErrMalformedResponse = errors.New("malformed response")
)

// Transport is an [http.Transport] for HTTP/1 that returns only valid and whole responses,
// where net/http accepts more. Its RoundTrip fails with [ErrInvalidStatus] or
// [ErrMalformedResponse], and the body of a response that is broken off ends with an error.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that uses t, and changes how t connects.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return Transport{transport: t}
}

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), newWriteTrace())))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if !awoutcome.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, resp.StatusCode)
	}
	return resp, nil
}

// newWriteTrace returns a trace that tells the connection when a request is being written.
func newWriteTrace() *httptrace.ClientTrace {
	var conn atomic.Pointer[Conn] // requests may be tried on several connections
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.BeginRequest()
				conn.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				c.EndRequest(info.Err)
			}
		},
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// CheckResponse checks what net/http does not check of a response: the protocol version and
// the names and values of its fields, by RFC 9112, sections 2.3 and 5. Its error is
// [ErrMalformedResponse]. The body then checks the trailer fields at its end.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: protocol version %q", ErrMalformedResponse, resp.Proto)
	}
	if err := checkFields(resp.Header); err != nil {
		return err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	return nil
}

func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformedResponse, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value of field %s", ErrMalformedResponse, name)
			}
		}
	}
	return nil
}

// checkedBody is a response body that does not end in order if the trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements [io.Reader].
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if fieldErr := checkFields(b.resp.Trailer); fieldErr != nil {
			return n, fieldErr
		}
	}
	return n, err
}
