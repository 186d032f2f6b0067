package awgateway

import (
	"net/http"
	"strings"
	"time"

	"arbutuswind/core/awdirectory"
)

// RequestInfo is what the head of a caller's request says.
type RequestInfo struct {
	ID           string
	Timeout      time.Duration // time that the caller waits; 0 if it does not say
	APIKey       string        // that names the team; empty if there is none
	Model        string
	PromptTokens int    // tokens
	MaxTokens    int    // most tokens that are generated
	ResumeAfter  string // number of the last event that the caller has
}

// ForwardInfo is what a backend server is told beside the caller's own headers.
type ForwardInfo struct {
	Server      awdirectory.Server
	Remaining   time.Duration // time left to answer
	Team        string
	ResumeAfter string
	Version     int64 // weights it must have; 0 accepts any
	Priority    int   // 0 is the most urgent
}

// ResponseInfo is what the head of an answer says about the exchange.
type ResponseInfo struct {
	NotRun   bool // the backend server states that it did not run the request
	Replaced bool // another backend server than the expected one answered
	Signed   bool // the answer bears the backend server's signature
	Version  int64
}

// HeaderCodec translates the headers of callers and backend servers.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// ForwardHeaders returns the headers for a backend server. It may change h, which
	// holds the caller's headers without those of a single connection.
	ForwardHeaders(h http.Header, hop ForwardInfo) http.Header
	DecodeResponse(status int, h http.Header) ResponseInfo
	// IDHeader names the header that holds the id of a request.
	IDHeader() string
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// passHeaders returns the headers that concern both ends.
func passHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for _, name := range splitList(v) {
			named[http.CanonicalHeaderKey(name)] = true
		}
	}
	for name, values := range h {
		if !hopHeaders[name] && !named[name] {
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
