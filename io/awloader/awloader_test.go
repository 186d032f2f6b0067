package awloader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"arbutuswind/core/awclock"
	"arbutuswind/core/awdirectory"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awload"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awwatch"
)

const (
	testChunks     = 12
	testChunkBytes = 512
)

var errDown = errors.New("down")

func testChunk(version int64, index int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), uint64(index)))
	b := make([]byte, testChunkBytes)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// fakeOrigin is an [Origin] with injectable faults.
type fakeOrigin struct {
	mu               sync.Mutex
	down             map[int64]bool
	corruptChunks    int           // number of chunks still to be corrupted
	corruptManifests int           // number of manifests still to be sent with one wrong digest
	manifestReads    map[int64]int // by version
	chunksSent       int
}

func (o *fakeOrigin) Manifest(_ context.Context, _, model string, version int64) (Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.manifestReads == nil {
		o.manifestReads = map[int64]int{}
	}
	o.manifestReads[version]++
	if o.down[version] {
		return Manifest{}, errDown
	}
	m := Manifest{Model: model, Version: version, ChunkBytes: testChunkBytes}
	for i := range testChunks {
		m.Digests = append(m.Digests, Digest(testChunk(version, i)))
	}
	if o.corruptManifests > 0 {
		o.corruptManifests--
		m.Digests[3] = Digest([]byte("something else"))
	}
	return m, nil
}

func (o *fakeOrigin) Chunk(_ context.Context, _, _ string, version int64, index int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down[version] {
		return nil, errDown
	}
	o.chunksSent++
	if o.corruptChunks > 0 {
		o.corruptChunks--
		return []byte("spoilt"), nil
	}
	return testChunk(version, index), nil
}

// fakeEngine is an [Engine] with injectable faults. It loads the staged chunks
// without checking them.
type fakeEngine struct {
	mu             sync.Mutex
	startUnixMs    int64
	acceptedOrders int64
	version        int64
	staged         map[int][]byte
	corruptStaged  int  // number of chunks still to be corrupted when staged
	loseReply      bool // return an error for the next order although it is accepted
	loadedMixed    bool // the chunks loaded were not exactly those of one version
}

func (e *fakeEngine) Status(context.Context) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{StartUnixMs: e.startUnixMs, AcceptedOrders: e.acceptedOrders, Versions: map[string]int64{}}
	if e.version > 0 {
		s.Versions["m"] = e.version
	}
	return s, nil
}

func (e *fakeEngine) ReadStaged(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b, ok := e.staged[index]; ok {
		return b, nil
	}
	return nil, errors.New("not staged")
}

func (e *fakeEngine) Stage(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.corruptStaged > 0 {
		e.corruptStaged--
		data = []byte("rotten")
	}
	e.staged[index] = data
	return nil
}

func (e *fakeEngine) Load(_ context.Context, _ string, version, orders int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != e.acceptedOrders {
		return errors.New("number of accepted orders differs")
	}
	e.acceptedOrders++
	e.version = version
	for i := range testChunks {
		if Digest(e.staged[i]) != Digest(testChunk(version, i)) {
			e.loadedMixed = true
		}
	}
	if e.loseReply {
		e.loseReply = false
		return errDown
	}
	return nil
}

func (e *fakeEngine) loaded() (version int64, mixed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.loadedMixed
}

// fakeSource is an [awwatch.Source] held in memory.
type fakeSource struct {
	mu      sync.Mutex
	version int64
	servers []awdirectory.Server
}

func (r *fakeSource) Operator(ctx context.Context, since awdirectory.Position, _ time.Duration) (awwatch.OperatorRows, error) {
	for ctx.Err() == nil {
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		if uint64(version) != since.Version {
			return awwatch.OperatorRows{
				Revision: awdirectory.Position{Version: uint64(version)}, DesiredVersions: map[string]int64{"m": version},
				Config: (&awdirectory.Config{Version: 1, Services: []awdirectory.Service{
					{Name: "s", Engine: true, Model: awdirectory.Model{Name: "m", Chunks: testChunks, ChunkBytes: testChunkBytes}},
					{Name: "weights", Origin: awdirectory.Origin{Address: "origin", Domain: "d"}},
				}}).Index(),
			}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return awwatch.OperatorRows{}, ctx.Err()
}

func (r *fakeSource) Servers(context.Context, awdirectory.Position, time.Duration) (awwatch.ServerRows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return awwatch.ServerRows{Put: r.servers}, nil
}

func (r *fakeSource) Entries(context.Context) ([]awdirectory.Registration, error) { return nil, nil }

func (r *fakeSource) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	return nil, nil
}

func (r *fakeSource) setDesired(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// startLoaders runs a loader for each engine.
func startLoaders[E Engine](t *testing.T, o *fakeOrigin, engines ...E) *fakeSource {
	t.Helper()
	return startLoadersWithClock(t, awclock.System{}, o, engines...)
}

func startLoadersWithClock[E Engine](t *testing.T, clock awclock.Clock, o *fakeOrigin, engines ...E) *fakeSource {
	t.Helper()
	r := &fakeSource{version: 1}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	t.Cleanup(func() { cancel(); done.Wait() })
	for i := range engines {
		r.servers = append(r.servers, awdirectory.Server{
			ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("127.0.0.%d:1", 10+i), Domain: "d", Region: "r",
		})
	}
	port := 0
	for i := range engines {
		// Loaders find each other by address and use the same port.
		inner, err := awrpc.Listen(fmt.Sprintf("127.0.0.%d:%d", 10+i, port), nil)
		require.NoError(t, err)
		port = inner.Addr().(*net.TCPAddr).Port
		socket, err := awload.Listen(inner.Addr().String(), awclock.System{})
		require.NoError(t, err)
		l := New(Config{
			Clock: clock, Logger: log.NewNopLogger(), Engine: engines[i], Origin: o, Source: r, Socket: socket,
			Identity: &awproto.ProcessIdentity{Process: "awloader", Instance: fmt.Sprint(i), Domain: "d", Region: "r"},
			Backend:  r.servers[i].Address, Service: "s", InnerPort: port, MaxStaleness: time.Second, Regions: map[string]string{"d": "r"}, Seed: uint64(i),
		})
		l.manifestWait, l.source.firstWait = time.Minute, 0 // the peers respond, however busy the machine is; there are no entries
		done.Go(func() { _ = l.Run(ctx, inner) })           // ends with ctx
	}
	return r
}

func newEngine(version int64) *fakeEngine {
	e := &fakeEngine{startUnixMs: 1, version: version, staged: map[int][]byte{}}
	if version > 0 {
		for i := range testChunks {
			e.staged[i] = testChunk(version, i)
		}
	}
	return e
}

func requireVersion(t *testing.T, want int64, engines ...*fakeEngine) {
	t.Helper()
	for _, e := range engines {
		require.Eventually(t, func() bool { v, _ := e.loaded(); return v == want }, 20*time.Second, time.Millisecond)
		_, mixed := e.loaded()
		require.False(t, mixed, "the engine must load all chunks of a single version")
	}
}

// Guards rule WHOLE: an engine must load nothing but one complete version, also
// after corrupt chunks or a corrupt manifest from the origin, chunks that are
// corrupted while staged, or a load order whose reply is lost.
func TestVersionIsLoadedWhole(t *testing.T) {
	for name, injectFault := range map[string]func(o *fakeOrigin, e *fakeEngine){
		"no fault":                func(*fakeOrigin, *fakeEngine) {},
		"corrupt chunks":          func(o *fakeOrigin, _ *fakeEngine) { o.corruptChunks = 5 },
		"corrupt manifest":        func(o *fakeOrigin, _ *fakeEngine) { o.corruptManifests = 1 },
		"corrupt staged chunks":   func(_ *fakeOrigin, e *fakeEngine) { e.corruptStaged = 4 },
		"lost reply to an order":  func(_ *fakeOrigin, e *fakeEngine) { e.loseReply = true },
		"chunk left from earlier": func(_ *fakeOrigin, e *fakeEngine) { e.staged[0] = []byte("old") },
	} {
		t.Run(name, func(t *testing.T) {
			o, e := &fakeOrigin{}, newEngine(1)
			injectFault(o, e)
			r := startLoaders(t, o, e)
			r.setDesired(2)
			requireVersion(t, 2, e)
		})
	}
}

// Guards against overloading the origin's link: an engine without weights must
// get them from engines that hold them.
func TestEmptyEngineLoadsFromItsPeers(t *testing.T) {
	o, full, empty := &fakeOrigin{}, newEngine(1), newEngine(0)
	startLoaders(t, o, full, empty)
	requireVersion(t, 1, full, empty)
	o.mu.Lock()
	defer o.mu.Unlock()
	require.LessOrEqual(t, o.chunksSent, testChunks/2)
}

// Guards against an origin whose link is busy with manifests: only the region
// fetchers read the manifest of a version from it, and the others get it from
// them.
func TestManifestComesFromPeers(t *testing.T) {
	o := &fakeOrigin{}
	var engines []*fakeEngine
	for range awweights.FetchersPerRegion + 4 {
		engines = append(engines, newEngine(1))
	}
	r := startLoaders(t, o, engines...)
	requireVersion(t, 1, engines...)
	r.setDesired(2)
	requireVersion(t, 2, engines...)
	o.mu.Lock()
	defer o.mu.Unlock()
	require.LessOrEqual(t, o.manifestReads[2], awweights.FetchersPerRegion)
}

// Guards against an engine that stays on an old version because the newest one
// can't be fetched: it must be switched to the version before the newest.
func TestVersionBeforeTheNewest(t *testing.T) {
	o, e := &fakeOrigin{down: map[int64]bool{2: true, 3: true}}, newEngine(1)
	r := startLoaders(t, o, e)
	for version := int64(2); version <= 3; version++ {
		r.setDesired(version)
		require.Eventually(t, func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.manifestReads[version] > 0
		}, 20*time.Second, time.Millisecond)
	}
	setDown := func(down map[int64]bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.down = down
	}
	setDown(map[int64]bool{3: true})
	requireVersion(t, 2, e)
	setDown(nil)
	requireVersion(t, 3, e)
}
