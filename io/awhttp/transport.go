package awhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"arbutuswind/core/awoutcome"
)

// ErrInvalidStatus is the error of a response whose status is not that of a final
// response. Its request may have been carried out.
var ErrInvalidStatus = errors.New("status is none of HTTP")

// Transport is an [http.Transport] for HTTP/1 that returns only valid and whole responses,
// where net/http accepts more. Its RoundTrip fails with [ErrInvalidStatus], and
// the body of a response that is broken off ends with an error.
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
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if !awoutcome.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, resp.StatusCode)
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
