package awbackend

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awoutcome"
)

// unidentifiedWait is how long the answer to a request is awaited after a response
// without an id, which may belong to no request.
const unidentifiedWait = 500 * time.Millisecond

// UnidentifiedError is a response that does not bear the id of the request, and was not
// followed by one that does. The request may have run, whatever the response states:
// backend servers may send responses that belong to no request.
type UnidentifiedError struct {
	Status int
	Header http.Header
}

// Error implements the error interface.
func (e *UnidentifiedError) Error() string {
	return fmt.Sprintf("response with status %d does not bear the id of the request", e.Status)
}

// readResponse reads the header of the response. It skips informational
// responses, those to earlier requests and those without an id. A response whose status
// is not that of a final response is an error.
func (r *Response) readResponse(req Request) error {
	var stray *UnidentifiedError
	for range maxResponsesRead {
		resp, err := r.conn.readHeader(req.Method) //nolint:bodyclose // Response.Close closes the connection unless the body was read to its end
		if err != nil && stray != nil {
			return stray
		}
		if err != nil {
			return eris.Wrap(err, "read response")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := resp.Header.Get(req.IDHeader)
		if req.ID == "" || id == req.ID {
			return r.accept(resp, stray != nil)
		}
		if id == "" && stray == nil {
			stray = &UnidentifiedError{Status: resp.StatusCode, Header: resp.Header}
			if r.conn.requests == 1 {
				return stray // there was no earlier request that a later response could follow
			}
			defer time.AfterFunc(unidentifiedWait, r.conn.abort).Stop()
		}
		if err := skipBody(resp); err != nil && stray != nil {
			return stray
		} else if err != nil {
			return err
		}
	}
	return fmt.Errorf("none of %d responses on the connection belongs to the request", maxResponsesRead)
}

// accept takes resp for the answer to the request. single prevents the connection from
// being used again.
func (r *Response) accept(resp *http.Response, single bool) error {
	if !awoutcome.IsFinalStatus(resp.StatusCode) {
		return fmt.Errorf("invalid status %d", resp.StatusCode)
	}
	r.Status, r.Header, r.resp, r.single = resp.StatusCode, resp.Header, resp, single
	r.Body = &bodyReader{r}
	r.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return nil
}

// skipBody reads the body of a response that is no answer to the request.
func skipBody(resp *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err == nil && skipped == maxSkippedBytes {
		err = fmt.Errorf("body of %d bytes or more", maxSkippedBytes)
	}
	if err != nil {
		return eris.Wrap(err, "skip response to an earlier request")
	}
	if resp.Close {
		return eris.New("connection closed after the response to an earlier request")
	}
	return nil
}
