package awagent

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awconfig"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awengine"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awtransfer"
)

// wantsVersion returns the current view and whether this agent should hold the
// version.
func (a *Agent) wantsVersion(digest string) (awconfig.AgentView, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view, slices.Contains(wantedDigests(a.view), digest)
}

// wantedDigests returns the digests of the versions to hold, the most urgent
// first.
func wantedDigests(v awconfig.AgentView) []string {
	var list []string
	if v.Placement.Model != "" {
		list = append(list, v.Placement.Digest)
	}
	if v.Next != nil {
		list = append(list, v.Next.Digest)
	}
	return list
}

// weightLoop fetches the versions that the view requires and drops the others,
// until ctx ends.
func (a *Agent) weightLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		changed, view := a.changed, a.view
		a.mu.Unlock()
		if view.Revision > 0 {
			a.weights.retain(wantedDigests(view)...)
		}
		for _, digest := range wantedDigests(view) {
			if a.weights.Complete(digest) {
				continue
			}
			if err := a.fetchVersion(ctx, digest, view); err != nil && ctx.Err() == nil {
				_ = a.cfg.Logger.Log("Message", "failed to fetch weights", "VersionDigest", digest, "Error", err.Error())
			}
			break
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(a.cfg.Settings.Timing.EnginePoll.Std()):
		}
	}
}

// requestBufferBytes is the memory that the agent uses for one running request.
const requestBufferBytes = 64 << 10

// fetchVersion fetches one version if it fits into the memory for weights.
func (a *Agent) fetchVersion(ctx context.Context, digest string, view awconfig.AgentView) error {
	a.instances(ctx, a.cfg.Settings.Timing.ListPoll.Std())
	a.weights.beginTransfer(digest)
	m, err := a.fetchManifest(ctx, digest, view)
	if err != nil {
		return err
	}
	limits := a.cfg.Settings.Limits
	memory := awweights.Memory{
		Total: a.cfg.Settings.Weights.MemoryBytes, Old: a.weights.OtherBytes(digest), New: m.SizeBytes,
		Running: uint64(limits.MaxInFlight) * requestBufferBytes,
	}
	plan := memory.Plan()
	a.weights.setNoRoom(plan == awweights.FitsAfterUnload)
	switch plan {
	case awweights.NoRoom:
		err := eris.Errorf("version of %d bytes does not fit into Weights.MemoryBytes = %d", m.SizeBytes, memory.Total)
		a.weights.setError(digest, err.Error())
		return err
	case awweights.FitsAfterUnload:
		if digest != view.Placement.Digest {
			a.lockAndNotify()
			return nil // NoRoom in the report tells the reconciler to place the version first
		}
		if err := a.stopServing(ctx, awengine.Status{}); err != nil {
			return err
		}
		a.weights.Retain(digest)
	case awweights.FitsBeside:
	}
	a.newTransfer(digest, m).Run(ctx)
	a.lockAndNotify()
	return nil
}

// lockAndNotify is [Agent.notify] for callers that do not hold mu.
func (a *Agent) lockAndNotify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify()
}

const (
	// manifestOriginDelay is the delay per rank before an agent reads the
	// manifest from the origin.
	manifestOriginDelay = 500 * time.Millisecond
	manifestRetry       = 50 * time.Millisecond
)

// fetchManifest gets the manifest from a peer, or from the origin after a delay
// that depends on the rank of this agent. If all agents read it from the
// origin, manifests would cost a tenth of a copy of the weights at a hundred
// replicas.
func (a *Agent) fetchManifest(ctx context.Context, digest string, view awconfig.AgentView) (awweights.Manifest, error) {
	if m, _, ok := a.weights.Manifest(digest); ok {
		return m, nil
	}
	began := a.cfg.Clock.Now()
	originDelay := manifestOriginDelay * time.Duration(a.originRank(view))
	for {
		if raw := a.manifestFromPeers(ctx, digest, view.Peers); raw != nil {
			return a.weights.addVersion(digest, raw)
		}
		if a.cfg.Clock.Now().Sub(began) >= originDelay {
			raw, err := a.store.ManifestByDigest(ctx, digest)
			if err == nil {
				return a.weights.addVersion(digest, raw)
			}
			originDelay += manifestOriginDelay
		}
		if _, ok := a.wantsVersion(digest); !ok {
			return awweights.Manifest{}, eris.New("version is no longer required on this instance")
		}
		select {
		case <-ctx.Done():
			return awweights.Manifest{}, ctx.Err()
		case <-time.After(manifestRetry):
		}
	}
}

// originRank returns the rank of this agent in reading the manifest from the
// origin: first the region fetchers of the home region, then those of the other
// regions, then all other agents.
func (a *Agent) originRank(v awconfig.AgentView) int {
	regions, fetchers := []string{a.identity.Region}, []string{a.identity.Instance}
	for _, p := range v.Peers {
		regions = append(regions, p.Region)
		if p.RegionFetcher && p.Region == a.identity.Region {
			fetchers = append(fetchers, p.Instance)
		}
	}
	slices.Sort(fetchers)
	rank := slices.Index(fetchers, a.identity.Instance)
	if awweights.HomeRegion(a.cfg.Settings.Weights.StoreRegion, regions) != a.identity.Region {
		rank += awweights.FetchersPerRegion
	}
	if !v.RegionFetcher {
		rank = 2 * awweights.FetchersPerRegion
	}
	return rank
}

// manifestFromPeers asks the region fetchers concurrently and returns the first
// manifest with the right digest, or nil.
func (a *Agent) manifestFromPeers(ctx context.Context, digest string, peers []awconfig.Peer) []byte {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan []byte, len(peers))
	asked := 0
	for _, p := range peers {
		if !p.RegionFetcher || (p.Region != a.identity.Region && asked > 2*awweights.FetchersPerRegion) {
			continue
		}
		asked++
		target := awrpc.Target{Address: a.addresses.lookup(p), Instance: p.Instance}
		go func() {
			reply, err := awtransfer.ChunkMap(ctx, a.dialer, target, a.identity, digest, true)
			if err != nil || awweights.Digest(reply.Manifest) != digest {
				found <- nil
				return
			}
			found <- reply.Manifest
		}()
	}
	for range asked {
		if raw := <-found; raw != nil {
			return raw
		}
	}
	return nil
}
