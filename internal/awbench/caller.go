package awbench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awhttp"
)

// Answer is the response to one request as the caller received it.
type Answer struct {
	Status     int
	Outcome    string // set for refused and failed requests
	Text       string
	Whole      bool // the stream ended with its [DONE] event
	FirstToken time.Duration
	Total      time.Duration
	Body       []byte
}

// Call describes a completion request.
type Call struct {
	Model     string
	Prompt    string
	MaxTokens int
	Team      string
	Priority  string
	Deadline  time.Duration // if 0, the entry applies its default
}

// ExpectedText returns the complete text that the simulated engine generates
// for the call with weights of the digest.
func (c Call) ExpectedText(fileDigest string) string {
	var b strings.Builder
	for i := range c.MaxTokens {
		b.WriteString(awstandin.TokenText(fileDigest, c.Prompt, uint32(i)))
	}
	return b.String()
}

// Caller is an HTTP client of entries.
type Caller struct{ HTTP *http.Client }

// NewCaller returns a caller that keeps up to 1024 idle connections per entry.
func NewCaller() *Caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 4096}
	return &Caller{HTTP: &http.Client{Transport: tr}}
}

// Stream sends a streaming completion to the base URL of an entry and reads the
// response to its end. A refusal is not an error; see [Answer.Status].
func (c *Caller) Stream(ctx context.Context, base string, call Call) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": call.Model, "prompt": call.Prompt, "max_tokens": call.MaxTokens, "stream": true,
	})
	if err != nil {
		return Answer{}, eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{}, eris.Wrap(err, "request")
	}
	req.Header.Set(awhttp.HeaderTeam, call.Team)
	if call.Priority != "" {
		req.Header.Set(awhttp.HeaderPriority, call.Priority)
	}
	if call.Deadline > 0 {
		req.Header.Set(awhttp.HeaderDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	began := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, eris.Wrap(err, "call")
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Outcome: resp.Header.Get(awhttp.HeaderOutcome)}
	if resp.StatusCode != http.StatusOK {
		a.Body, _ = io.ReadAll(io.LimitReader(resp.Body, 1<<16))
		return a, nil
	}
	err = a.read(resp.Body, began)
	a.Total = time.Since(began)
	return a, err
}

func (a *Answer) read(body io.Reader, began time.Time) error {
	var text strings.Builder
	scan := bufio.NewScanner(body)
	for scan.Scan() {
		line := scan.Text()
		if line == "event: error" {
			a.Outcome = "error-event"
			if scan.Scan() {
				a.Body = []byte(strings.TrimPrefix(scan.Text(), "data: "))
			}
			return nil
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Whole, a.Text = true, text.String()
			return nil
		}
		var ev struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &ev); err != nil || len(ev.Choices) != 1 {
			return eris.Errorf("malformed event %q", data)
		}
		if a.FirstToken == 0 {
			a.FirstToken = time.Since(began)
		}
		text.WriteString(ev.Choices[0].Text)
	}
	return eris.Wrap(scan.Err(), "read response")
}

// Service calls a plain service. If key is not empty, it is sent as the
// idempotency key.
func (c *Caller) Service(ctx context.Context, base, service, path, key string, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/services/"+service+"/"+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, eris.Wrap(err, "request")
	}
	req.Header.Set(awhttp.HeaderTeam, "kitchen")
	if key != "" {
		req.Header.Set(awhttp.HeaderKey, key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, eris.Wrap(err, "call")
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Outcome: resp.Header.Get(awhttp.HeaderOutcome)}
	a.Body, err = io.ReadAll(resp.Body)
	return a, eris.Wrap(err, "read response")
}
