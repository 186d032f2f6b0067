package awcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
)

// APIError is a refusal by an entry.
type APIError struct {
	Status  int
	Refusal Refusal
}

// Error implements the error interface.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s\n%s", e.Refusal.Error, strings.Join(e.Refusal.Faults, "\n"))
}

// Client calls the operators' API of an entry.
type Client struct {
	Base string // URL of the operators' listener
	HTTP *http.Client
}

// Status reads the state of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

// Apply sends a sheet.
func (c *Client) Apply(ctx context.Context, sheet []byte, actor string, base uint64) (Accepted, error) {
	var a Accepted
	q := url.Values{"Actor": {actor}, "Base": {strconv.FormatUint(base, 10)}}
	return a, c.call(ctx, http.MethodPost, "/sheet?"+q.Encode(), sheet, &a)
}

// Change asks for a change of a domain or an instance.
func (c *Client) Change(ctx context.Context, req ChangeRequest) (Accepted, error) {
	var a Accepted
	body, err := json.Marshal(req)
	if err != nil {
		return a, eris.Wrap(err, "encode change")
	}
	return a, c.call(ctx, http.MethodPost, "/changes", body, &a)
}

// History reads the last n changes, oldest first.
func (c *Client) History(ctx context.Context, n int) ([]awconfig.Change, error) {
	var changes []awconfig.Change
	return changes, c.call(ctx, http.MethodGet, "/history?N="+strconv.Itoa(n), nil, &changes)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.Base, "/")+APIPrefix+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "call entry")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		e := &APIError{Status: resp.StatusCode}
		if err := json.Unmarshal(data, &e.Refusal); err != nil {
			e.Refusal.Error = string(data)
		}
		return e
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode answer")
}
