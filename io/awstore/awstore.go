// Package awstore is a client of the platform's table service, object store,
// weight origin and instance list.
//
// The table service keeps a version number for each row and commits a
// transaction only if all its conditions hold. A response may be lost although
// the write took effect, so callers must read the rows again to learn the
// outcome.
package awstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/io/awhttp"
	"arbutuswind/io/awtelemetry"
)

// ErrNotFound is returned for a row or object that does not exist.
var ErrNotFound = errors.New("not found")

// ErrNotModified is returned by a conditional read when nothing changed.
var ErrNotModified = errors.New("not modified")

// ErrConflict is returned when a condition of a transaction did not hold.
var ErrConflict = errors.New("condition not met")

// Row is one row of the table service.
type Row struct {
	Key     string
	Version uint64 // raised by every write; 0 means that the row does not exist
	Value   json.RawMessage
}

// Condition requires that a row has the given version. Version 0 requires that
// the row does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Txn is a transaction of the table service. It is applied atomically.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string // keys
}

// Put sets the value of a row.
type Put struct {
	Key   string
	Value json.RawMessage
}

// Client is a client of the platform's services. The zero value is not usable;
// see [New].
type Client struct {
	cfg  Config
	http *http.Client
	list listCache
}

// Config holds the URLs of the platform's services. The URL of a service that a
// process does not use may be empty.
type Config struct {
	TableURL        string
	ObjectURL       string
	OriginURL       string
	InstanceListURL string
	Timeout         time.Duration // of one call; 0 means 2 s
}

const (
	defaultTimeout = 2 * time.Second
	maxReplyBytes  = 64 << 20
)

// New returns a client of the services in cfg.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DialContext: countingDial}
	return &Client{cfg: cfg, http: &http.Client{Transport: awhttp.NewTransport(tr)}}
}

var traffic = awtelemetry.NewTraffic("store")

// countingDial dials and counts the traffic of the connection in the metrics.
func countingDial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return traffic.Count(conn), nil
}

// Get reads a row. It returns [ErrNotModified] if knownVersion is not 0 and the
// row still has that version.
func (c *Client) Get(ctx context.Context, key string, knownVersion uint64) (Row, error) {
	u := c.cfg.TableURL + "/rows/" + url.PathEscape(key)
	if knownVersion != 0 {
		u += "?IfNotVersion=" + strconv.FormatUint(knownVersion, 10)
	}
	var row Row
	err := c.call(ctx, http.MethodGet, u, nil, &row)
	return row, err
}

// Scan reads at most limit rows with from <= key < to, ordered by key.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]Row, error) {
	q := url.Values{"From": {from}, "To": {to}, "Limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, http.MethodGet, c.cfg.TableURL+"/scan?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit commits a transaction. If it returns [ErrConflict], nothing was
// written. After any other error the transaction may have been committed.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return eris.Wrap(err, "encode transaction")
	}
	return c.call(ctx, http.MethodPost, c.cfg.TableURL+"/txn", body, nil)
}

// GetObject reads an object of the object store.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.bytes(ctx, c.cfg.ObjectURL+"/objects/"+url.PathEscape(name))
}

// PutObject writes an object of the object store.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, c.cfg.ObjectURL+"/objects/"+url.PathEscape(name), data, nil)
}

// Manifest reads the published manifest of a version of a model.
func (c *Client) Manifest(ctx context.Context, model, version string) ([]byte, error) {
	return c.bytes(ctx, c.cfg.OriginURL+"/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version))
}

// ManifestByDigest reads the manifest with the given digest.
func (c *Client) ManifestByDigest(ctx context.Context, digest string) ([]byte, error) {
	return c.bytes(ctx, c.cfg.OriginURL+"/manifests/"+url.PathEscape(digest))
}

// Chunk reads a chunk of weights from the origin. Only ctx limits the duration
// of the call. [Config.Timeout] does not apply, because the origin is
// rate-limited.
func (c *Client) Chunk(ctx context.Context, digest string) ([]byte, error) {
	return c.fetch(ctx, c.cfg.OriginURL+"/chunks/"+url.PathEscape(digest))
}

// Instance is one row of the platform's instance list.
type Instance struct {
	ID          string
	Role        string // "entry" or "agent"
	Address     string // internal listener, IP:port
	Domain      string
	Region      string
	Leaving     bool
	Service     string // plain service behind the agent; empty for model engines
	MemoryBytes uint64
}

// listCache holds the instance list as last read and its entity tag. Every
// process polls the list every few seconds, but it rarely changes, so the reads
// are conditional.
type listCache struct {
	mu   sync.Mutex
	etag string
	list []Instance
}

// Instances reads the instance list, which may be out of date.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	c.list.mu.Lock()
	known, cached := c.list.etag, c.list.list
	c.list.mu.Unlock()
	resp, err := c.send(ctx, http.MethodGet, c.cfg.InstanceListURL, nil, known)
	if errors.Is(err, ErrNotModified) && known != "" {
		return slices.Clone(cached), nil
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "decode instance list")
	}
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.list.etag, c.list.list = resp.Header.Get("ETag"), list
	return slices.Clone(list), nil
}

// bytes reads the body at u within the timeout of the client.
func (c *Client) bytes(ctx context.Context, u string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.fetch(ctx, u)
}

// fetch reads the body at u.
func (c *Client) fetch(ctx context.Context, u string) ([]byte, error) {
	resp, err := c.send(ctx, http.MethodGet, u, nil, "")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return data, eris.Wrapf(err, "read %s", u)
}

// call sends a request and decodes the JSON response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, u string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	resp, err := c.send(ctx, method, u, body, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
		return eris.Wrapf(err, "read %s", u)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out)
	return eris.Wrapf(err, "decode %s", u)
}

// send sends a request. If etag is not empty, the read is conditional. Status
// 304 and all statuses from 400 are returned as errors.
func (c *Client) send(ctx context.Context, method, u string, body []byte, etag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "create request for %s", u)
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, u)
	}
	if err := statusError(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
		_ = resp.Body.Close()
		return nil, eris.Wrapf(err, "%s %s", method, u)
	}
	return resp, nil
}

func statusError(status int) error {
	switch {
	case status == http.StatusNotModified:
		return ErrNotModified
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status >= http.StatusBadRequest:
		return fmt.Errorf("unexpected status %d", status)
	}
	return nil
}
