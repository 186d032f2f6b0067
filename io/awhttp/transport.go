package awhttp

import (
	"errors"
	"fmt"
	"net/http"

	"arbutuswind/core/awoutcome"
)

// ErrInvalidStatus is the error of a response whose status is not that of a final
// response. Its request may have been carried out.
var ErrInvalidStatus = errors.New("status is none of HTTP")

// Transport is an [http.Transport] whose RoundTrip fails with [ErrInvalidStatus] where
// net/http accepts any number, such as 000, which callers would take for a success.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if !awoutcome.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, resp.StatusCode)
	}
	return resp, nil
}
