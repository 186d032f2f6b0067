package awstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awengine"
)

// EngineConfig configures a stand-in model engine.
type EngineConfig struct {
	TokenInterval time.Duration // between tokens of one stream
	FirstToken    time.Duration // time to first token when warm; four times as long when cold
	ColdRequests  int           // finished requests until a cold engine is warm
	ColdLimit     int           // a cold engine restarts if more requests run at once; 0 means no limit
	MaxRunning    int           // batch size; further requests wait
	MemoryBytes   uint64        // for requests; the engine restarts if they use more; 0 means no limit
	BytesPerToken uint64
	LoadTime      time.Duration
	Fencing       bool          // reject load commands with an old fencing token
	ReportLag     time.Duration // age of Running, Waiting and UsedBytes in the status
}

// EngineFault holds the faults injected into an engine.
type EngineFault struct {
	FailLoad    bool
	StallMs     int    // delay added before every token
	CutAfter    int    // streams break off before token index n, without the end event; 0 means off
	GoCold      bool   // a warm engine becomes cold again, once
	Restart     bool   // the engine loses its model and all requests, once
	LoseLoad    bool   // the next successful load command gets no reply
	FailStarts  int    // the next n completions fail with status 503
	FailVersion string // completions of this version fail with status 503
	RateLimit   string // named in all responses; empty for none
	Leaving     bool   // all responses say that the engine is leaving
	PauseMs     int    // completions are turned away with this Retry-After; 0 means off
	SilentMs    int    // the engine stops, sends nothing for this long and then goes on where it was, once
}

// Engine stands in for a model engine with continuous batching.
type Engine struct {
	cfg    EngineConfig
	faults faultState[EngineFault]
	slots  chan struct{}

	mu        sync.Mutex
	st        awengine.Status
	finished  int            // requests finished since the engine was last loaded, restarted or made cold
	overloads int            // restarts because ColdLimit or MemoryBytes was exceeded
	maxCold   int            // most concurrent requests while cold
	started   int            // completions since the process started, including those that broke the engine
	runs      map[uint64]int // completion requests from the first token on, by PromptHash
	silent    time.Time      // until then, the engine sends nothing
	history   []awengine.Status
	historyAt []time.Time
}

// NewEngine returns an engine without a model.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, slots: make(chan struct{}, max(1, cfg.MaxRunning)), runs: map[uint64]int{}}
	e.st = awengine.Status{BootID: newBootID(), State: "empty", MemoryBytes: cfg.MemoryBytes}
	return e
}

func newBootID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/fault") || strings.HasPrefix(r.URL.Path, "/admin/") {
				next.ServeHTTP(w, r)
				return
			}
			e.waitWhileSilent()
			f := e.faults.get()
			if f.RateLimit != "" {
				w.Header().Set(awengine.HeaderRateLimit, f.RateLimit)
			}
			if f.Leaving {
				w.Header().Set(awengine.HeaderLeaving, "1")
			}
			next.ServeHTTP(w, r)
		})
	})
	r.Post("/fault", e.setFault)
	r.Get("/status", e.status)
	r.Post("/commands/load", e.load)
	r.Post("/v1/completions", e.complete)
	r.Get("/admin/counts", e.counts)
	r.Get("/admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.runs)
	})
	return r
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	e.faults.ServeHTTP(w, r)
	f := e.faults.get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Restart {
		e.restart()
	} else if f.GoCold {
		e.goCold()
	}
	if f.SilentMs > 0 {
		e.silent = time.Now().Add(time.Duration(f.SilentMs) * time.Millisecond)
	}
	e.faults.update(func(f *EngineFault) { f.Restart, f.GoCold, f.SilentMs = false, false, 0 })
}

// waitWhileSilent returns when the engine is not silent.
func (e *Engine) waitWhileSilent() {
	for {
		e.mu.Lock()
		left := time.Until(e.silent)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// restart drops the model and every running request. The caller holds mu.
func (e *Engine) restart() {
	e.st = awengine.Status{BootID: newBootID(), State: "empty", MemoryBytes: e.cfg.MemoryBytes}
	e.finished = 0
}

func (e *Engine) goCold() {
	e.finished = 0
	if e.st.State == "warm" {
		e.st.State = "cold"
	}
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]int{
		"Overloads": e.overloads, "MaxCold": e.maxCold, "Finished": e.finished, "Running": e.st.Running, "Started": e.started,
	})
}

// status reports the load figures as they were ReportLag ago and all other
// fields as they are now.
func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.history, e.historyAt = append(e.history, e.st), append(e.historyAt, now)
	for len(e.history) > 1 && now.Sub(e.historyAt[1]) >= e.cfg.ReportLag {
		e.history, e.historyAt = e.history[1:], e.historyAt[1:]
	}
	shown := e.st
	shown.Running, shown.Waiting, shown.UsedBytes = e.history[0].Running, e.history[0].Waiting, e.history[0].UsedBytes
	writeJSON(w, shown)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var cmd awengine.LoadCommand
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.get().FailLoad {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	if e.cfg.Fencing && cmd.Fence < e.st.Fence {
		e.mu.Unlock()
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return
	}
	boot := e.st.BootID
	e.mu.Unlock()

	digest, err := fetchDigest(cmd.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	time.Sleep(e.cfg.LoadTime)
	e.waitWhileSilent()

	e.mu.Lock()
	if e.st.BootID != boot || (e.cfg.Fencing && cmd.Fence < e.st.Fence) {
		e.mu.Unlock()
		http.Error(w, "superseded by a newer load or a restart while loading", http.StatusPreconditionFailed)
		return
	}
	e.st.Model, e.st.Version, e.st.Digest, e.st.Fence = cmd.Model, cmd.Version, digest, cmd.Fence
	e.st.State, e.finished = "cold", 0
	e.mu.Unlock()

	loseReply := false
	e.faults.update(func(f *EngineFault) { loseReply, f.LoseLoad = f.LoseLoad, false })
	if loseReply {
		dropConnection(w)
		return
	}
	writeJSON(w, struct{}{})
}

func fetchDigest(url string) (string, error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("weights: status %d", resp.StatusCode)
	}
	return awweights.Digest(data), nil
}

// PromptHash returns the key under which /admin/runs counts a prompt.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TokenText returns the token that an engine with weights of the given digest
// generates for a prompt at an index. Tests compare complete responses with it.
func TokenText(digest, prompt string, index uint32) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", digest, prompt, index))
	return fmt.Sprintf("%07x ", sum&0xfffffff)
}

// begin starts a completion without admission control, as a real engine does.
// If this exceeds ColdLimit or MemoryBytes, the engine restarts and begin
// returns false.
func (e *Engine) begin(need uint64) (awengine.Status, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	e.st.Running++
	e.st.UsedBytes += need
	cold := e.st.State == "cold"
	if cold {
		e.maxCold = max(e.maxCold, e.st.Running)
	}
	if (cold && e.cfg.ColdLimit > 0 && e.st.Running > e.cfg.ColdLimit) ||
		(e.cfg.MemoryBytes > 0 && e.st.UsedBytes > e.cfg.MemoryBytes) {
		e.overloads++
		e.restart()
		return e.st, false
	}
	return e.st, true
}

func (e *Engine) end(boot string, need uint64, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.st.BootID != boot {
		return
	}
	e.st.Running--
	e.st.UsedBytes -= need
	if !completed {
		return
	}
	e.finished++
	if e.st.State == "cold" && e.finished >= e.cfg.ColdRequests {
		e.st.State = "warm"
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req awengine.Completion
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if pause := e.faults.get().PauseMs; pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(pause)/1000, 'f', 3, 64))
		http.Error(w, "the engine wants a pause", http.StatusServiceUnavailable)
		return
	}
	fail := false
	e.faults.update(func(f *EngineFault) {
		if fail = f.FailStarts > 0; fail {
			f.FailStarts--
		}
	})
	e.mu.Lock()
	if req.ResumeFrom == 0 {
		e.runs[PromptHash(req.Prompt)]++
	}
	serves := e.st.State != "empty" && e.st.Model == req.Model &&
		(e.st.Version == "" || e.st.Version != e.faults.get().FailVersion)
	e.mu.Unlock()
	if fail || !serves {
		http.Error(w, "model is not loaded", http.StatusServiceUnavailable)
		return
	}
	need := (uint64(len(req.Prompt))/4 + uint64(req.MaxTokens)) * e.cfg.BytesPerToken
	st, ok := e.begin(need)
	if !ok {
		dropConnection(w)
		return
	}
	completed := false
	defer func() { e.end(st.BootID, need, completed) }()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	completed = e.generate(w, r, req, st)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, req awengine.Completion, st awengine.Status) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	wait := e.cfg.FirstToken
	if st.State == "cold" {
		wait *= 4
	}
	enc := json.NewEncoder(w)
	for i := req.ResumeFrom; i < req.MaxTokens; i++ {
		f := e.faults.get()
		if !sleep(r, wait+time.Duration(f.StallMs)*time.Millisecond) {
			return false
		}
		e.waitWhileSilent()
		wait = e.cfg.TokenInterval
		if !e.sameBoot(st.BootID) || (f.CutAfter > 0 && int(i) >= f.CutAfter) {
			dropConnection(w)
			return false
		}
		tok := awengine.Token{Index: i, Text: TokenText(st.Digest, req.Prompt, i), Digest: st.Digest}
		if i == req.MaxTokens-1 {
			tok.Finish = "length"
		}
		_, _ = io.WriteString(w, "data: ")
		if err := enc.Encode(tok); err != nil {
			return false
		}
		_, _ = io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (e *Engine) sameBoot(boot string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.st.BootID == boot
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
