package awstandin

import (
	"fmt"
	"io"
	"net/http"
)

// RespondRaw reads the request and answers it with the text of a status, also one that
// net/http does not write, and closes the connection. header holds complete lines.
func RespondRaw(w http.ResponseWriter, r *http.Request, status, header, body string) {
	_, _ = io.Copy(io.Discard, r.Body) // a close with unread bytes resets the connection
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}
