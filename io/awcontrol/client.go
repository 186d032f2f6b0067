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

// APIError is an error response of an entry.
type APIError struct {
	Status  int
	Refusal Refusal
}

// Error implements the error interface.
func (e *APIError) Error() string {
	lines := append([]string{e.Refusal.Error}, e.Refusal.Faults...)
	for _, w := range e.Refusal.Winners {
		lines = append(lines, fmt.Sprintf("committed first: revision %d, %s %s by %s", w.Revision, w.Kind, w.Target, w.Actor))
	}
	for _, d := range e.Refusal.Difference {
		lines = append(lines, "refused: "+d.String())
	}
	return strings.Join(lines, "\n")
}

// Client calls the operators' API of an entry.
type Client struct {
	Base string // URL of the operators' listener
	HTTP *http.Client
}

// ApplyOptions holds the options of [Client.ApplyWith].
type ApplyOptions struct {
	Actor        string
	Base         uint64 // revision that the operator based the sheet on; 0 for the newest
	AllowRemoval bool   // let the sheet remove more than MaxRemovedShare of the replicas
}

// Status returns the configuration and the status of all agents.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

// Progress returns how many processes have applied a revision.
func (c *Client) Progress(ctx context.Context, revision uint64) (Progress, error) {
	var p Progress
	return p, c.call(ctx, http.MethodGet, "/progress?Revision="+strconv.FormatUint(revision, 10), nil, &p)
}

// Check validates a sheet and reports what it would change, without applying it.
func (c *Client) Check(ctx context.Context, sheet []byte) (SheetReport, error) {
	var r SheetReport
	return r, c.call(ctx, http.MethodPost, "/sheet/check", sheet, &r)
}

// Apply applies a sheet based on the revision base; 0 means the newest.
func (c *Client) Apply(ctx context.Context, sheet []byte, actor string, base uint64) (Accepted, error) {
	return c.ApplyWith(ctx, sheet, ApplyOptions{Actor: actor, Base: base})
}

// ApplyWith applies a sheet with the given options.
func (c *Client) ApplyWith(ctx context.Context, sheet []byte, opts ApplyOptions) (Accepted, error) {
	var a Accepted
	q := url.Values{
		"Actor": {opts.Actor}, "Base": {strconv.FormatUint(opts.Base, 10)},
		"AllowRemoval": {strconv.FormatBool(opts.AllowRemoval)},
	}
	return a, c.call(ctx, http.MethodPost, "/sheet?"+q.Encode(), sheet, &a)
}

// Change requests a change of a domain, an instance or a team limit.
func (c *Client) Change(ctx context.Context, req ChangeRequest) (Accepted, error) {
	return c.post(ctx, "/changes", req)
}

// AcceptReset allows changes again after the store was reset, starting from the
// newest configuration that the entries hold.
func (c *Client) AcceptReset(ctx context.Context, actor, reason string) (Accepted, error) {
	return c.post(ctx, "/reset", ChangeRequest{Kind: awconfig.KindStoreResetAccepted, Actor: actor, Reason: reason})
}

func (c *Client) post(ctx context.Context, path string, req ChangeRequest) (Accepted, error) {
	var a Accepted
	body, err := json.Marshal(req)
	if err != nil {
		return a, eris.Wrap(err, "encode change")
	}
	return a, c.call(ctx, http.MethodPost, path, body, &a)
}

// History returns the last n changes, oldest first.
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
		return eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		e := &APIError{Status: resp.StatusCode}
		if err := json.Unmarshal(data, &e.Refusal); err != nil {
			e.Refusal.Error = string(data)
		}
		return e
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode response")
}
