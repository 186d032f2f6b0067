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
	"arbutuswind/io/awload"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awwatch"
)

const (
	testPieces     = 12
	testPieceBytes = 512
)

var errDown = errors.New("down")

func piece(version int64, index int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), uint64(index)))
	b := make([]byte, testPieceBytes)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// origin is a stand-in of the source of weights.
type origin struct {
	mu     sync.Mutex
	down   map[int64]bool
	spoil  int           // answers to spoil
	forged int           // manifests with one wrong digest to hand out
	tries  map[int64]int // reads of a version's manifest
	sent   int           // pieces
}

func (o *origin) Manifest(_ context.Context, _, model string, version int64) (Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tries == nil {
		o.tries = map[int64]int{}
	}
	o.tries[version]++
	if o.down[version] {
		return Manifest{}, errDown
	}
	m := Manifest{Model: model, Version: version, ChunkBytes: testPieceBytes}
	for i := range testPieces {
		m.Digests = append(m.Digests, Digest(piece(version, i)))
	}
	if o.forged > 0 {
		o.forged--
		m.Digests[3] = Digest([]byte("something else"))
	}
	return m, nil
}

func (o *origin) Chunk(_ context.Context, _, _ string, version int64, index int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down[version] {
		return nil, errDown
	}
	o.sent++
	if o.spoil > 0 {
		o.spoil--
		return []byte("spoilt"), nil
	}
	return piece(version, index), nil
}

// modelEngine is a stand-in of a model engine. It loads what is staged without
// checking it.
type modelEngine struct {
	mu      sync.Mutex
	born    int64
	orders  int64
	version int64
	staged  map[int][]byte
	rot     int  // staged pieces to spoil as they are put
	lose    bool // the answer to the next order
	mixed   bool // something else than one whole version was loaded
}

func (e *modelEngine) Status(context.Context) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Status{StartUnixMs: e.born, AcceptedOrders: e.orders, Versions: map[string]int64{}}
	if e.version > 0 {
		s.Versions["m"] = e.version
	}
	return s, nil
}

func (e *modelEngine) ReadStaged(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b, ok := e.staged[index]; ok {
		return b, nil
	}
	return nil, errors.New("not staged")
}

func (e *modelEngine) Stage(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rot > 0 {
		e.rot--
		data = []byte("rotten")
	}
	e.staged[index] = data
	return nil
}

func (e *modelEngine) Load(_ context.Context, _ string, version, orders int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != e.orders {
		return errors.New("another order came first")
	}
	e.orders++
	e.version = version
	for i := range testPieces {
		if Digest(e.staged[i]) != Digest(piece(version, i)) {
			e.mixed = true
		}
	}
	if e.lose {
		e.lose = false
		return errDown
	}
	return nil
}

func (e *modelEngine) holds() (version int64, mixed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.mixed
}

// rows is a stand-in of the store.
type rows struct {
	mu      sync.Mutex
	version int64
	servers []awdirectory.Server
}

func (r *rows) Operator(ctx context.Context, since uint64, _ time.Duration) (awwatch.OperatorRows, error) {
	for ctx.Err() == nil {
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		if uint64(version) != since {
			return awwatch.OperatorRows{
				Revision: uint64(version), DesiredVersions: map[string]int64{"m": version},
				Config: (&awdirectory.Config{Version: 1, Services: []awdirectory.Service{
					{Name: "s", Engine: true, Model: awdirectory.Model{Name: "m", Chunks: testPieces, ChunkBytes: testPieceBytes}},
					{Name: "weights", Origin: awdirectory.Origin{Address: "origin", Domain: "d"}},
				}}).Index(),
			}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return awwatch.OperatorRows{}, ctx.Err()
}

func (r *rows) Servers(context.Context, uint64) (awwatch.ServerRows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return awwatch.ServerRows{Put: r.servers}, nil
}

func (r *rows) Entries(context.Context) ([]string, error) { return nil, nil }

func (r *rows) VersionAges(context.Context, string, int64, time.Duration) (map[int64]time.Duration, error) {
	return nil, nil
}

func (r *rows) name(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// startLoaders runs a loader beside each engine.
func startLoaders(t *testing.T, o *origin, engines ...*modelEngine) *rows {
	t.Helper()
	r := &rows{version: 1}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	t.Cleanup(func() { cancel(); done.Wait() })
	port := 0
	for i := range engines {
		// Every instance has an address of its own and the same port.
		inner, err := awrpc.Listen(fmt.Sprintf("127.0.0.%d:%d", 10+i, port), nil)
		require.NoError(t, err)
		port = inner.Addr().(*net.TCPAddr).Port
		socket, err := awload.Listen(inner.Addr().String(), awclock.System{})
		require.NoError(t, err)
		address := fmt.Sprintf("127.0.0.%d:1", 10+i)
		r.servers = append(r.servers, awdirectory.Server{ID: fmt.Sprint(i), Service: "s", Address: address, Domain: "d", Region: "r"})
		l := New(Config{
			Clock: awclock.System{}, Logger: log.NewNopLogger(), Engine: engines[i], Origin: o, Source: r, Socket: socket,
			Identity: &awproto.ProcessIdentity{Process: "awloader", Instance: fmt.Sprint(i), Domain: "d", Region: "r"},
			Backend:  address, Service: "s", InnerPort: port, MaxStaleness: time.Second, Regions: map[string]string{"d": "r"}, Seed: uint64(i),
		})
		done.Go(func() { _ = l.Run(ctx, inner) }) // ends with ctx
	}
	return r
}

func newEngine(version int64) *modelEngine {
	e := &modelEngine{born: 1, version: version, staged: map[int][]byte{}}
	if version > 0 {
		for i := range testPieces {
			e.staged[i] = piece(version, i)
		}
	}
	return e
}

func requireVersion(t *testing.T, want int64, engines ...*modelEngine) {
	t.Helper()
	for _, e := range engines {
		require.Eventually(t, func() bool { v, _ := e.holds(); return v == want }, 20*time.Second, time.Millisecond)
		_, mixed := e.holds()
		require.False(t, mixed, "one whole version only")
	}
}

// Guards WHOLE: spoilt pieces from the origin, a spoilt manifest, pieces that
// go bad where they lie, and an order whose answer is lost.
func TestVersionIsLoadedWhole(t *testing.T) {
	for name, harm := range map[string]func(o *origin, e *modelEngine){
		"nothing goes wrong":       func(*origin, *modelEngine) {},
		"spoilt pieces":            func(o *origin, _ *modelEngine) { o.spoil = 5 },
		"spoilt manifest":          func(o *origin, _ *modelEngine) { o.forged = 1 },
		"staged pieces go bad":     func(_ *origin, e *modelEngine) { e.rot = 4 },
		"answer to an order lost":  func(_ *origin, e *modelEngine) { e.lose = true },
		"staged by an older start": func(_ *origin, e *modelEngine) { e.staged[0] = []byte("old") },
	} {
		t.Run(name, func(t *testing.T) {
			o, e := &origin{}, newEngine(1)
			harm(o, e)
			r := startLoaders(t, o, e)
			r.name(2)
			requireVersion(t, 2, e)
		})
	}
}

// Guards the origin's link: engines that come empty get the weights from those
// that hold them.
func TestEmptyEngineLoadsFromItsPeers(t *testing.T) {
	o, full, empty := &origin{}, newEngine(1), newEngine(0)
	startLoaders(t, o, full, empty)
	requireVersion(t, 1, full, empty)
	o.mu.Lock()
	defer o.mu.Unlock()
	require.LessOrEqual(t, o.sent, testPieces/2)
}

// Guards against a version that nobody can get keeping engines from the one
// before it.
func TestVersionBeforeTheNewest(t *testing.T) {
	o, e := &origin{down: map[int64]bool{2: true, 3: true}}, newEngine(1)
	r := startLoaders(t, o, e)
	for version := int64(2); version <= 3; version++ {
		r.name(version)
		require.Eventually(t, func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.tries[version] > 0
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
