package awstandin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// RawResponse is a response that is sent byte by byte, also one that net/http does not
// write. Its connection ends with it.
type RawResponse struct {
	StatusLine string // without the line end; "HTTP/1.1 200 OK" if empty
	Header     string // complete lines
	Body       string
	// Early sends the response before the request body has been read.
	Early bool
	// HalfClose closes the sending direction after the response.
	HalfClose bool
	// Unread closes the connection, and Reset resets it, without reading the rest of the
	// request, Pause after what was sent before.
	Unread, Reset bool
	Pause         time.Duration
}

// Send answers r.
func (a RawResponse) Send(w http.ResponseWriter, r *http.Request) {
	if !a.Early {
		_, _ = io.Copy(io.Discard, r.Body) // a close with unread bytes resets the connection
	}
	raw, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer raw.Close()
	conn := raw.(*net.TCPConn)
	line := a.StatusLine
	if line == "" {
		line = "HTTP/1.1 200 OK"
	}
	// Written at once, so that the client may get all of it in one read.
	_, _ = io.WriteString(conn, line+"\r\n"+a.Header+"\r\n"+a.Body)
	if a.HalfClose {
		_ = conn.CloseWrite()
	}
	switch {
	case a.Reset:
		time.Sleep(a.Pause)
		_ = conn.SetLinger(0)
	case a.Unread:
		time.Sleep(a.Pause)
	case a.Early:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// RawStatus returns a response with the text of a status and a body of known length.
func RawStatus(status, body string) RawResponse {
	return RawResponse{
		StatusLine: "HTTP/1.1 " + status + " Status",
		Header:     fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(body)),
		Body:       body,
	}
}

// LongUpload is the size in bytes of a request body that does not fit into the buffers
// between client and server, so that it is still being written when an early response
// arrives.
const LongUpload = 8 << 20

// BrokenOff are early responses without a length whose connection is ended while the request
// is being written, by how it ends.
var BrokenOff = map[string]RawResponse{
	"reset at once":            {Body: "part", Early: true, Reset: true},
	"reset after a pause":      {Body: "part", Early: true, Reset: true, Pause: 20 * time.Millisecond},
	"reset after a half close": {Body: "part", Early: true, HalfClose: true, Reset: true, Pause: 20 * time.Millisecond},
	"closed at once":           {Body: "part", Early: true, Unread: true},
	"closed after a pause":     {Body: "part", Early: true, Unread: true, Pause: 20 * time.Millisecond},
}

// MalformedHeads are heads of responses that violate the protocol, by what is wrong.
var MalformedHeads = map[string]RawResponse{
	"blank inside a name":            {Header: "X-Odd Name: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"blank after a name":             {Header: "X-Odd : 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"tab after a name":               {Header: "X-Odd\t: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"blank after the name of length": {Header: "Content-Length : 3\r\n", Body: "odd and more"},
	"blank after the name of chunks": {Header: "Transfer-Encoding : chunked\r\n", Body: "3\r\nodd\r\n0\r\n\r\n"},
	"control byte in a name":         {Header: "X-Odd\x01: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"zero byte in a name":            {Header: "X-\x00Odd: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"delete byte in a name":          {Header: "X-Odd\x7f: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"carriage return in a name":      {Header: "X-\rOdd: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"empty name":                     {Header: ": 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"no colon":                       {Header: "X-Odd\r\nContent-Length: 3\r\n", Body: "odd"},
	"control byte in a value":        {Header: "X-Odd: a\x01b\r\nContent-Length: 3\r\n", Body: "odd"},
	"carriage return in a value":     {Header: "X-Odd: a\rb\r\nContent-Length: 3\r\n", Body: "odd"},
	"length with a sign":             {Header: "Content-Length: +3\r\n", Body: "odd"},
	"two lengths":                    {Header: "Content-Length: 3\r\nContent-Length: 4\r\n", Body: "odd "},
	"list of lengths":                {Header: "Content-Length: 3, 3\r\n", Body: "odd"},
	"unknown transfer coding":        {Header: "Transfer-Encoding: gzip\r\n", Body: "odd"},
	"other major version":            {StatusLine: "HTTP/2.0 200 OK", Header: "Content-Length: 3\r\n", Body: "odd"},
	"status 000":                     {StatusLine: "HTTP/1.1 000 OK", Header: "Content-Length: 3\r\n", Body: "odd"},
	"no status":                      {StatusLine: "HTTP/1.1", Header: "Content-Length: 3\r\n", Body: "odd"},
	"blank in the name of a trailer": {Header: "Transfer-Encoding: chunked\r\n", Body: "3\r\nodd\r\n0\r\nX-Odd Name: 1\r\n\r\n"},
}

// AmbiguousHeads are heads that net/http accepts, and whose body or fields have two
// readings, by what is ambiguous. A gateway may not pass them on as they are (RFC 9112,
// sections 5.2 and 6.1).
var AmbiguousHeads = map[string]RawResponse{
	"blank before the name of length": {Header: "X-Odd: 1\r\n Content-Length: 3\r\n", Body: "odd and more"},
	"tab before a name":               {Header: "X-Odd: 1\r\n\tX-Other: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"length and chunks":               {Header: "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Body: "3\r\nodd\r\n0\r\n\r\n"},
	"chunks in version 1.0":           {StatusLine: "HTTP/1.0 200 OK", Header: "Transfer-Encoding: chunked\r\n", Body: "3\r\nodd\r\n0\r\n\r\n"},
}

// OddResponses are unusual responses that the protocol allows. The body of each is "odd".
var OddResponses = map[string]RawResponse{
	"unusual characters in a name":  {Header: "x!#$%&'*+-.^_`|~1: 1\r\nContent-Length: 3\r\n", Body: "odd"},
	"empty value":                   {Header: "X-Odd:\r\nContent-Length: 3\r\n", Body: "odd"},
	"tab and other bytes in values": {Header: "X-Odd: a\tb \xe9\xff\r\nContent-Length: 3\r\n", Body: "odd"},
	"no reason":                     {StatusLine: "HTTP/1.1 200 ", Header: "Content-Length: 3\r\n", Body: "odd"},
	"no blank after the status":     {StatusLine: "HTTP/1.1 200", Header: "Content-Length: 3\r\n", Body: "odd"},
	"other minor version":           {StatusLine: "HTTP/1.2 200 OK", Header: "Content-Length: 3\r\n", Body: "odd"},
	"version 1.0 without length":    {StatusLine: "HTTP/1.0 200 OK", Body: "odd"},
	"length twice":                  {Header: "Content-Length: 3\r\nContent-Length: 3\r\n", Body: "odd"},
	"reset behind the last byte":    {Header: "Content-Length: 3\r\n", Body: "odd", Reset: true},
	"bytes behind the last byte":    {Header: "Content-Length: 3\r\n", Body: "odd and more"},
	"chunk with extension, trailer": {Header: "Transfer-Encoding: chunked\r\n", Body: "3;a=b\r\nodd\r\n0\r\nX-Odd: 1\r\n\r\n"},
	"early, with length":            {Header: "Content-Length: 3\r\n", Body: "odd", Early: true},
	"early, with chunks":            {Header: "Transfer-Encoding: chunked\r\n", Body: "3\r\nodd\r\n0\r\n\r\n", Early: true},
	"early, without length":         {Body: "odd", Early: true, HalfClose: true},
}
