package awcontrol_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutuswind/core/awconfig"
	"arbutuswind/internal/awstandin"
	"arbutuswind/io/awcontrol"
	"arbutuswind/io/awstore"
)

// platform is a simulated platform with fault injection.
type platform struct {
	t     require.TestingT
	url   string
	store *awstore.Client
	close func()
}

func newPlatform(t *testing.T) platform {
	pl := openPlatform(t)
	t.Cleanup(pl.close)
	return pl
}

func openPlatform(t require.TestingT) platform {
	srv := httptest.NewServer(awstandin.NewPlatform(awstandin.PlatformConfig{}).Handler())
	return platform{t: t, url: srv.URL, close: srv.Close, store: awstore.New(awstore.Config{
		TableURL: srv.URL, ObjectURL: srv.URL, OriginURL: srv.URL, InstanceListURL: srv.URL + "/instances",
	})}
}

func (p platform) post(path string, v any) {
	data, err := json.Marshal(v)
	require.NoError(p.t, err)
	resp, err := http.Post(p.url+path, "application/json", bytes.NewReader(data))
	require.NoError(p.t, err)
	require.Equal(p.t, http.StatusOK, resp.StatusCode)
	require.NoError(p.t, resp.Body.Close())
}

func (p platform) fault(f awstandin.PlatformFault) { p.post("/fault", f) }

func (p platform) client() *awstore.Client { return p.store }

// process is the part of an entry that holds the configuration.
type process struct {
	holder *awconfig.Holder
	log    *awcontrol.Log
}

func (p platform) process() process {
	h := awconfig.NewHolder()
	return process{holder: h, log: awcontrol.NewLog(p.client(), p.client(), h)}
}

func (p process) commit(t *testing.T, kind awconfig.Kind, target string) awconfig.Change {
	c, err := p.log.Commit(t.Context(), p.holder.State().Revision, awconfig.Change{Kind: kind, Target: target, Actor: "ana"})
	require.NoError(t, err)
	return c
}

// Checks that a change is committed exactly once if the reply of the store is
// lost.
func TestCommitAfterLostReply(t *testing.T) {
	pl := newPlatform(t)
	p := pl.process()
	pl.fault(awstandin.PlatformFault{LoseReplies: 1})
	c := p.commit(t, awconfig.KindDomainOut, "serra")
	require.Equal(t, uint64(1), c.Revision)
	other := pl.process()
	require.NoError(t, other.log.Poll(t.Context()))
	require.Equal(t, p.holder.State().Digest(), other.holder.State().Digest())
	require.Equal(t, uint64(1), other.holder.State().Revision)
}

// Checks that a commit during a store outage fails and changes nothing, and that
// commits work again afterwards.
func TestCommitDuringOutage(t *testing.T) {
	pl := newPlatform(t)
	p := pl.process()
	p.commit(t, awconfig.KindDomainOut, "serra")
	pl.fault(awstandin.PlatformFault{StoreDown: true})
	_, err := p.log.Commit(t.Context(), 1, awconfig.Change{Kind: awconfig.KindDomainIn, Target: "serra"})
	require.Error(t, err)
	require.Equal(t, uint64(1), p.holder.State().Revision)
	pl.fault(awstandin.PlatformFault{})
	require.Equal(t, uint64(2), p.commit(t, awconfig.KindDomainIn, "serra").Revision)
}

// Checks that exactly one of two concurrent commits succeeds, and that the error
// of the other names the winner and what the refused change would alter.
func TestCommitRace(t *testing.T) {
	pl := newPlatform(t)
	a, b := pl.process(), pl.process()
	a.commit(t, awconfig.KindDomainOut, "serra")
	require.NoError(t, b.log.Poll(t.Context()))
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i, p := range []process{a, b} {
		wg.Go(func() {
			_, errs[i] = p.log.Commit(t.Context(), 1, awconfig.Change{
				Kind: awconfig.KindDomainOut, Target: fmt.Sprintf("domain-%d", i), Actor: fmt.Sprintf("operator-%d", i),
			})
		})
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	require.NoError(t, errs[winner])
	var conflict *awcontrol.ConflictError
	require.ErrorAs(t, errs[1-winner], &conflict)
	require.Len(t, conflict.Winners, 1)
	require.Equal(t, fmt.Sprintf("operator-%d", winner), conflict.Winners[0].Actor)
	require.Equal(t, []awconfig.Difference{{
		Subject: fmt.Sprintf("domain domain-%d", 1-winner), Field: "State", Becomes: "out",
	}}, conflict.Difference)
}

// rowCountingTable counts the rows returned by scans.
type rowCountingTable struct {
	*awstore.Client
	rows int
}

func (s *rowCountingTable) Scan(ctx context.Context, from, to string, limit int) ([]awstore.Row, error) {
	rows, err := s.Client.Scan(ctx, from, to, limit)
	s.rows += len(rows)
	return rows, err
}

// missingObjects reports every object as missing if missing is set, and counts
// the writes.
type missingObjects struct {
	*awstore.Client
	missing bool
	puts    int
}

func (l *missingObjects) GetObject(ctx context.Context, name string) ([]byte, error) {
	if l.missing {
		return nil, awstore.ErrNotFound
	}
	return l.Client.GetObject(ctx, name)
}

func (l *missingObjects) PutObject(ctx context.Context, name string, data []byte) error {
	l.puts++
	return l.Client.PutObject(ctx, name, data)
}

// Checks that a process starts from the newest snapshot instead of the whole
// history, and that it rebuilds and writes a missing snapshot again.
func TestStartFromSnapshot(t *testing.T) {
	pl := newPlatform(t)
	p := pl.process()
	const revisions = 2*awcontrol.SnapshotEvery + 100
	for i := range revisions {
		p.commit(t, []awconfig.Kind{awconfig.KindDomainOut, awconfig.KindDomainIn}[i%2], "serra")
	}
	start := func(missing bool) (*awconfig.Holder, *rowCountingTable, *missingObjects) {
		h, table, objects := awconfig.NewHolder(), &rowCountingTable{Client: pl.client()}, &missingObjects{Client: pl.client(), missing: missing}
		require.NoError(t, awcontrol.NewLog(table, objects, h).Poll(t.Context()))
		require.Equal(t, p.holder.State().Digest(), h.State().Digest())
		return h, table, objects
	}
	_, table, _ := start(false)
	require.Equal(t, 100, table.rows, "must read the snapshot at 512 and the changes after it")
	_, table, objects := start(true)
	require.Equal(t, revisions, table.rows, "must rebuild the state from all changes")
	require.Equal(t, 1, objects.puts, "must write the missing snapshot again")

	history, err := p.log.History(t.Context(), revisions)
	require.NoError(t, err)
	require.Len(t, history, revisions, "old changes must stay in the history")
}

// Checks that after a store reset no process returns to an older revision and
// changes are refused, and that changes work again once an operator accepts the
// reset.
func TestStoreReset(t *testing.T) {
	pl := newPlatform(t)
	a, stale := pl.process(), pl.process()
	a.commit(t, awconfig.KindDomainOut, "serra")
	pl.post("/admin/save", nil)
	a.commit(t, awconfig.KindDomainOut, "litoral")
	require.NoError(t, stale.log.Poll(t.Context()))
	a.commit(t, awconfig.KindDomainIn, "serra")
	pl.post("/admin/restore", nil)

	var reset *awcontrol.ResetError
	require.ErrorAs(t, a.log.Poll(t.Context()), &reset)
	require.ErrorAs(t, stale.log.Poll(t.Context()), &reset)
	_, err := a.log.Commit(t.Context(), 3, awconfig.Change{Kind: awconfig.KindDomainOut, Target: "planalto"})
	require.ErrorAs(t, err, &reset)
	require.Equal(t, uint64(3), a.holder.State().Revision)
	require.NotNil(t, a.log.Reset())

	c, err := a.log.AcceptReset(t.Context(), "ana", "restored from backup")
	require.NoError(t, err)
	require.Equal(t, uint64(4), c.Revision)
	require.Nil(t, a.log.Reset())
	a.commit(t, awconfig.KindDomainOut, "planalto")
	fresh := pl.process()
	for _, p := range []process{stale, fresh} {
		require.NoError(t, p.log.Poll(t.Context()))
		require.Equal(t, a.holder.State().Digest(), p.holder.State().Digest())
	}
	_, err = a.log.AcceptReset(t.Context(), "ana", "again")
	require.Error(t, err, "must fail, since there is no reset to accept")
}

// Guards against a new process that commits to a store that was reset while no
// entry holds the newest state. The agents still report its revision, which must
// be enough to detect the reset.
func TestStoreResetDetectedFromAgents(t *testing.T) {
	pl := newPlatform(t)
	a := pl.process()
	a.commit(t, awconfig.KindDomainOut, "serra")
	pl.post("/admin/save", nil)
	a.commit(t, awconfig.KindDomainOut, "litoral")
	pl.post("/admin/restore", nil)

	b := pl.process()
	require.NoError(t, b.log.Poll(t.Context()))
	b.log.ObserveRevision(2)
	var reset *awcontrol.ResetError
	_, err := b.log.Commit(t.Context(), 1, awconfig.Change{Kind: awconfig.KindDomainOut, Target: "planalto", Actor: "ana"})
	require.ErrorAs(t, err, &reset)
	require.Equal(t, uint64(2), reset.Have)

	c, err := b.log.AcceptReset(t.Context(), "ana", "the store was restored")
	require.NoError(t, err)
	require.Equal(t, uint64(3), c.Revision, "must be above every revision in force anywhere")
	b.commit(t, awconfig.KindDomainOut, "planalto")
}

// Guards against mixing two histories with the same revision numbers, if the
// store was reset and then written to before the reset was detected.
func TestStoreResetAndWrittenTo(t *testing.T) {
	for _, c := range []struct {
		writes   int
		detected bool // before the writes; with two writes the head row then has its old version again
	}{{1, false}, {2, false}, {5, false}, {1, true}, {2, true}, {5, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			pl := newPlatform(t)
			a := pl.process()
			a.commit(t, awconfig.KindDomainOut, "serra")
			pl.post("/admin/save", nil)
			a.commit(t, awconfig.KindDomainOut, "litoral")
			a.commit(t, awconfig.KindDomainIn, "serra")
			pl.post("/admin/restore", nil)
			b := pl.process()
			require.NoError(t, b.log.Poll(t.Context()))
			if c.detected {
				require.Error(t, a.log.Poll(t.Context()))
			}
			for i := range c.writes {
				b.commit(t, awconfig.KindDomainOut, fmt.Sprintf("other-%d", i))
			}
			before := a.holder.State().Digest()
			var reset *awcontrol.ResetError
			require.ErrorAs(t, a.log.Poll(t.Context()), &reset)
			require.Equal(t, before, a.holder.State().Digest())
			_, err := a.log.AcceptReset(t.Context(), "ana", "the entries are right")
			require.NoError(t, err)
			// b may hold the same revision with different content; its next poll
			// loads the accepted state at a higher revision.
			require.NoError(t, b.log.Poll(t.Context()))
			require.Equal(t, a.holder.State().Digest(), b.holder.State().Digest())
			require.Greater(t, b.holder.State().Revision, uint64(3))
			require.False(t, b.holder.State().Domains["other-0"].Out)
		})
	}
}

// hookedTable calls duringGet once, after the next Get and before it returns.
type hookedTable struct {
	*awstore.Client
	duringGet func()
}

func (r *hookedTable) Get(ctx context.Context, key string, known uint64) (awstore.Row, error) {
	row, err := r.Client.Get(ctx, key, known)
	if r.duringGet != nil {
		r.duringGet()
		r.duringGet = nil
	}
	return row, err
}

// Checks that no reset is reported if a peer delivers a newer revision to the
// holder while the store is being read.
func TestPeerFasterThanRead(t *testing.T) {
	pl := newPlatform(t)
	a := pl.process()
	first := a.commit(t, awconfig.KindDomainOut, "serra")
	h := awconfig.NewHolder()
	require.NoError(t, h.ApplyAll([]awconfig.Change{first}))
	table := &hookedTable{Client: pl.client()}
	l := awcontrol.NewLog(table, pl.client(), h)
	require.NoError(t, l.Poll(t.Context()))
	for range 2 {
		table.duringGet = func() {
			require.NoError(t, h.ApplyAll([]awconfig.Change{a.commit(t, awconfig.KindDomainIn, "litoral")}))
		}
		require.NoError(t, l.Poll(t.Context()))
		require.NoError(t, l.Poll(t.Context()))
	}
	require.Equal(t, uint64(3), h.State().Revision)
}

func newServer(t *testing.T, pl platform) (*awcontrol.Client, process) {
	for i, domain := range []string{"serra", "serra", "litoral"} {
		data, err := json.Marshal(awstore.Instance{ID: fmt.Sprintf("engine-%d", i), Role: "agent", Domain: domain})
		require.NoError(t, err)
		req, err := http.NewRequest(http.MethodPut, pl.url+"/instances", bytes.NewReader(data))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	p := pl.process()
	api := &awcontrol.Server{
		Log: p.log, Holder: p.holder, Platform: fakeOrigin{pl.client()}, MaxRemovedShare: 0.3,
		Fleet: func() []awcontrol.AgentStatus { return nil },
	}
	mux := http.NewServeMux()
	mux.Handle(awcontrol.APIPrefix+"/", http.StripPrefix(awcontrol.APIPrefix, api.Handler()))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return &awcontrol.Client{Base: srv.URL, HTTP: &http.Client{Timeout: 10 * time.Second}}, p
}

// fakeOrigin serves a manifest for every version except v404.
type fakeOrigin struct{ *awstore.Client }

func (fakeOrigin) Manifest(_ context.Context, model, version string) ([]byte, error) {
	if version == "v404" {
		return nil, awstore.ErrNotFound
	}
	return json.Marshal(map[string]any{"Model": model, "Version": version, "SizeBytes": 1, "ChunkBytes": 1, "Chunks": []string{strings.Repeat("0", 64)}})
}

func sheet(rows ...string) []byte {
	return []byte("Model,Version,Replicas,Domains,TeamShares,Fencing\n" + strings.Join(rows, "\n"))
}

// Guards against changes that are reported as accepted without a commit, that
// add a revision although they are already in effect, or that are refused
// without the list of valid names.
func TestOperatorChanges(t *testing.T) {
	pl := newPlatform(t)
	c, p := newServer(t, pl)
	ctx := t.Context()
	change := func(kind awconfig.Kind, target string, base uint64) (awcontrol.Accepted, *awcontrol.APIError) {
		acc, err := c.Change(ctx, awcontrol.ChangeRequest{Kind: kind, Target: target, Actor: "ana", Base: base})
		if err == nil {
			return acc, nil
		}
		var refused *awcontrol.APIError
		require.ErrorAs(t, err, &refused)
		return acc, refused
	}
	_, refused := change(awconfig.KindDomainOut, "sera", 0)
	require.Equal(t, http.StatusUnprocessableEntity, refused.Status)
	require.Equal(t, []string{"litoral", "serra"}, refused.Refusal.Known)
	_, refused = change(awconfig.KindInstanceDrain, "engine-9", 0)
	require.Equal(t, []string{"engine-0", "engine-1", "engine-2"}, refused.Refusal.Known)

	acc, refused := change(awconfig.KindDomainOut, "serra", 0)
	require.Nil(t, refused)
	require.Equal(t, uint64(1), acc.Revision)
	acc, refused = change(awconfig.KindDomainOut, "serra", 0)
	require.Nil(t, refused)
	require.True(t, acc.NoOp)
	require.Equal(t, uint64(1), p.holder.State().Revision, "a change already in effect must not add a revision")

	p.commit(t, awconfig.KindPlace, "")
	acc, refused = change(awconfig.KindDomainIn, "serra", 1)
	require.Nil(t, refused, "placements must not conflict")
	require.Equal(t, uint64(3), acc.Revision)
	_, refused = change(awconfig.KindDomainOut, "litoral", 1)
	require.Equal(t, http.StatusConflict, refused.Status)
	require.Equal(t, awconfig.KindDomainIn, refused.Refusal.Winners[len(refused.Refusal.Winners)-1].Kind)

	pl.fault(awstandin.PlatformFault{StoreDown: true})
	_, refused = change(awconfig.KindDomainOut, "litoral", 0)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
}

// Guards against a change or a reset that is applied although its body did not arrive
// whole: the guard of client connections refuses a body by an error at its end.
func TestChangeWithIncompleteBody(t *testing.T) {
	pl := newPlatform(t)
	c, p := newServer(t, pl)
	for _, path := range []string{"/changes", "/reset"} {
		body := `{"Kind":"DomainOut","Target":"serra","Actor":"ana"}`
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.Base, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", awcontrol.APIPrefix, path, len(body)+1, body)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, path)
		require.Contains(t, string(data), "read change request", path)
		require.Zero(t, p.holder.State().Revision, path)
	}
}

// Guards against a sheet that is applied in part, removes a large share of the
// replicas by mistake, or overwrites the changes of another operator.
func TestApplySheet(t *testing.T) {
	pl := newPlatform(t)
	c, p := newServer(t, pl)
	ctx := t.Context()
	first := sheet("rota,v1,1,serra,,checked", "pan,v1,1,serra litoral,,checked")
	acc, err := c.Apply(ctx, first, "ana", 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), acc.Revision)
	acc, err = c.Apply(ctx, first, "ana", 0)
	require.NoError(t, err)
	require.True(t, acc.NoOp)

	var refused *awcontrol.APIError
	_, err = c.Apply(ctx, sheet("rota,v404,1,serra,,checked", "pan,v404,1,serra,,checked"), "ana", 0)
	require.ErrorAs(t, err, &refused)
	require.Len(t, refused.Refusal.Faults, 2, "must report every unknown version")
	require.Contains(t, refused.Refusal.Faults[0], "2:6: unknown version")

	report, err := c.Check(ctx, sheet("rota,v2,1,serra,,checked"))
	require.NoError(t, err)
	require.True(t, report.Valid)
	require.InDelta(t, 0.5, report.RemovedShare, 1e-9)
	require.False(t, report.RemovalOK)
	require.Contains(t, report.Differences, awconfig.Difference{Subject: "model rota", Field: "Version", Was: "v1", Becomes: "v2"})
	_, err = c.Apply(ctx, sheet("rota,v2,1,serra,,checked"), "ana", 0)
	require.ErrorAs(t, err, &refused)
	require.Contains(t, refused.Refusal.Error, "--allow-removal")
	require.Equal(t, uint64(1), p.holder.State().Revision, "must not apply anything")

	_, err = c.Apply(ctx, sheet("rota,v2,1,serra,,checked", "pan,v1,1,serra,,checked"), "ana", 1)
	require.NoError(t, err)
	_, err = c.Apply(ctx, sheet("rota,v3,1,serra,,checked", "pan,v1,1,serra,,checked"), "rui", 1)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusConflict, refused.Status)
	require.Equal(t, "ana", refused.Refusal.Winners[0].Actor)
	require.Contains(t, refused.Error(), "Version: v2 -> v3")
	_, err = c.ApplyWith(ctx, sheet("rota,v2,1,serra,,checked"), awcontrol.ApplyOptions{Actor: "rui", AllowRemoval: true})
	require.NoError(t, err)
}
