package awgateway

import (
	"net/http"
	"strings"
	"time"

	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awthrottle"
)

// RequestInfo holds the data from the headers of a caller's request.
type RequestInfo struct {
	ID           string
	Timeout      time.Duration // time that the caller waits; 0 if not set
	APIKey       string        // identifies the team; empty if not set
	Model        string
	PromptTokens int
	MaxTokens    int    // maximum number of generated tokens
	LengthHint   int    // estimate of the generated tokens; 0 if not set
	ResumeAfter  string // ID of the last event that the caller has
	// SharedParts identifies the parts of the prompt that other requests may have
	// too, in order.
	SharedParts []string
	// OwnPart identifies the part of the prompt that only this request, its
	// repetitions and its session have. Empty if not known.
	OwnPart string
	// Malformed is whether an identifier is no text in UTF-8, which messages between
	// entries cannot hold.
	Malformed bool
}

// ForwardInfo holds the data that a backend server gets in addition to the
// caller's headers.
type ForwardInfo struct {
	Server      awdirectory.Server
	Remaining   time.Duration // time left until the deadline
	Team        string
	ResumeAfter string
	Version     int64 // required version of the weights; 0 accepts any
	Priority    int   // 0 is the highest
}

// ResponseInfo holds the data from the headers of a backend server's response.
type ResponseInfo struct {
	NotRun   bool  // the backend server states that it did not run the request
	Replaced bool  // a different backend server than the expected one responded
	Signed   bool  // the response has the backend server's signature
	Version  int64 // version of the weights; 0 if not set
	Signals  awthrottle.Signals
}

// HeaderCodec decodes and encodes the HTTP headers of callers and backend
// servers.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// ForwardHeaders returns the headers for a backend server. It may modify h,
	// which holds the caller's headers without the hop-by-hop ones.
	ForwardHeaders(h http.Header, info ForwardInfo) http.Header
	DecodeResponse(status int, h http.Header) ResponseInfo
	// IDHeader returns the name of the header that holds the request ID.
	IDHeader() string
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// endToEndHeaders returns h without hop-by-hop headers, including those that
// Connection lists.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	connectionHeaders := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			connectionHeaders[http.CanonicalHeaderKey(name)] = true
		}
	}
	for name, values := range h {
		if !hopByHopHeaders[name] && !connectionHeaders[name] {
			out[name] = values
		}
	}
	return out
}

func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
