package awstandin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awstore"
)

// PlatformConfig configures a stand-in platform.
type PlatformConfig struct {
	WritesPerSecond float64       // transactions of the table service; 0 means unlimited
	OriginMbit      float64       // rate of the weight origin; 0 means unlimited
	ListLag         time.Duration // age of the instance list that readers get
}

// Platform stands in for the table service, the object store, the weight origin
// and the instance list.
type Platform struct {
	cfg    PlatformConfig
	faults faultState[PlatformFault]
	table  *table

	mu        sync.Mutex
	objects   map[string][]byte
	manifests map[string][]byte // by "model/version" and by digest
	chunks    map[string][]byte
	instances map[string]awstore.Instance
	history   []listSnapshot
	gateways  map[string]map[string]string // address by region of the reader, then by instance ID

	origin      *rate.Limiter
	originBytes atomic.Int64
}

type listSnapshot struct {
	at   time.Time
	list []awstore.Instance
}

// originBurstBytes is the most that the origin sends at once. It is small so
// that the rate also holds over a single second.
const originBurstBytes = 64 << 10

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg: cfg, objects: map[string][]byte{}, manifests: map[string][]byte{},
		chunks: map[string][]byte{}, instances: map[string]awstore.Instance{}, gateways: map[string]map[string]string{},
	}
	p.table = newTable(&p.faults, cfg.WritesPerSecond)
	if cfg.OriginMbit > 0 {
		p.origin = rate.NewLimiter(rate.Limit(cfg.OriginMbit*1e6/8), originBurstBytes)
	}
	return p
}

// Handler returns the HTTP API of the platform.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/fault", &p.faults)
	p.table.routes(r)
	r.Get("/objects/{name}", p.getObject)
	r.Put("/objects/{name}", p.putObject)
	r.Get("/weights/{model}/{version}", p.getManifest)
	r.Put("/weights/{model}/{version}", p.putManifest)
	r.Get("/manifests/{digest}", p.getManifestByDigest)
	r.Get("/chunks/{digest}", p.getChunk)
	r.Put("/chunks/{digest}", p.putChunk)
	r.Get("/instances", p.listInstances)
	r.Put("/instances", p.putInstance)
	r.Delete("/instances/{id}", p.deleteInstance)
	r.Put("/gateways", p.putGateway)
	r.Get("/admin/origin", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"OriginBytes": p.originBytes.Load()})
	})
	return r
}

func pathKey(r *http.Request) string {
	key := chi.URLParam(r, "key")
	if plain, err := url.PathUnescape(key); err == nil {
		return plain
	}
	return key
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.table.available(w, r) {
		return
	}
	p.mu.Lock()
	data, ok := p.objects[chi.URLParam(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if !p.table.available(w, r) {
		return
	}
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	p.objects[chi.URLParam(r, "name")] = data
	p.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (p *Platform) getManifest(w http.ResponseWriter, r *http.Request) {
	p.writeManifest(w, chi.URLParam(r, "model")+"/"+chi.URLParam(r, "version"))
}

func (p *Platform) getManifestByDigest(w http.ResponseWriter, r *http.Request) {
	p.writeManifest(w, chi.URLParam(r, "digest"))
}

func (p *Platform) writeManifest(w http.ResponseWriter, key string) {
	p.mu.Lock()
	data, ok := p.manifests[key]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	p.originBytes.Add(int64(len(data)))
	_, _ = w.Write(data)
}

// putManifest publishes a version. All its chunks must have been uploaded
// before.
func (p *Platform) putManifest(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	m, err := awweights.DecodeManifest(data, "")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range m.Chunks {
		if _, ok := p.chunks[c]; !ok {
			http.Error(w, "chunk "+c+" is missing", http.StatusConflict)
			return
		}
	}
	p.manifests[chi.URLParam(r, "model")+"/"+chi.URLParam(r, "version")] = data
	p.manifests[awweights.Digest(data)] = data
	writeJSON(w, map[string]string{"Digest": awweights.Digest(data)})
}

func (p *Platform) putChunk(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	p.chunks[chi.URLParam(r, "digest")] = data
	p.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (p *Platform) getChunk(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.chunks[chi.URLParam(r, "digest")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such chunk", http.StatusNotFound)
		return
	}
	if rand.IntN(100) < p.faults.get().CorruptPercent {
		data = slices.Clone(data)
		data[len(data)/2] ^= 0xff
	}
	for off := 0; off < len(data); off += originBurstBytes {
		part := data[off:min(off+originBurstBytes, len(data))]
		if p.origin != nil {
			if err := p.origin.WaitN(r.Context(), len(part)); err != nil {
				return
			}
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		p.originBytes.Add(int64(len(part)))
	}
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	frozen := p.faults.get().ListFrozen
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !frozen {
		p.snapshotList(now)
	}
	shown := []awstore.Instance{}
	for _, s := range p.history {
		if now.Sub(s.at) >= p.cfg.ListLag || len(shown) == 0 {
			shown = s.list
		}
	}
	if addresses := p.gateways[r.URL.Query().Get("For")]; addresses != nil {
		shown = slices.Clone(shown)
		for i, in := range shown {
			if addr := addresses[in.ID]; addr != "" {
				shown[i].Address = addr
			}
		}
	}
	body, err := json.Marshal(shown)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body) // the client may have disconnected
}

// Gateway is the address through which a region reaches an instance.
type Gateway struct{ For, Instance, Address string }

// putGateway sets the address that the instance list shows for an instance to
// readers of one region.
func (p *Platform) putGateway(w http.ResponseWriter, r *http.Request) {
	var g Gateway
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gateways[g.For] == nil {
		p.gateways[g.For] = map[string]string{}
	}
	p.gateways[g.For][g.Instance] = g.Address
	writeJSON(w, struct{}{})
}

func (p *Platform) snapshotList(now time.Time) {
	list := make([]awstore.Instance, 0, len(p.instances))
	for _, in := range p.instances {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b awstore.Instance) int { return strings.Compare(a.ID, b.ID) })
	p.history = append(p.history, listSnapshot{at: now, list: list})
	// Keep the newest snapshot that is at least ListLag old, and all later ones.
	for len(p.history) > 1 && now.Sub(p.history[1].at) >= p.cfg.ListLag {
		p.history = p.history[1:]
	}
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var in awstore.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" {
		http.Error(w, "body must be an instance with an ID", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[in.ID] = in
	p.snapshotList(time.Now())
	writeJSON(w, struct{}{})
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, chi.URLParam(r, "id"))
	p.snapshotList(time.Now())
	writeJSON(w, struct{}{})
}
