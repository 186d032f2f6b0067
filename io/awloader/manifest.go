package awloader

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awtransfer"
	"arbutuswind/io/awwatch"
)

const (
	// manifestWait is how long a loader asks its peers for a manifest before it
	// asks the origin.
	manifestWait = 1200 * time.Millisecond
	manifestPoll = 80 * time.Millisecond
)

// manifestKey is the key under which loaders request the manifest of a version
// from each other. They learn the version's digest only from the manifest.
func manifestKey(model string, version int64) string {
	return model + "/" + strconv.FormatInt(version, 10)
}

// offerManifest makes a manifest available to other loaders.
func (l *Loader) offerManifest(m Manifest) {
	data, err := json.Marshal(m)
	if err != nil {
		l.log("manifest cannot be encoded and is not offered to other loaders", "Version", m.Version, "Error", err.Error())
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offeredManifests[manifestKey(m.Model, m.Version)] = data
}

// dropManifest forgets a manifest.
func (l *Loader) dropManifest(m Manifest) {
	delete(l.manifests, m.Version)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.offeredManifests, manifestKey(m.Model, m.Version))
}

// offeredManifest returns the encoded manifest for a key, or nil.
func (l *Loader) offeredManifest(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.offeredManifests[key]
}

// manifestFromPeers asks the region fetchers of the version in this region for
// its manifest. It returns false if this loader is one of them, if none of them
// has the manifest in time, or if the manifest from peers was corrupt before.
//
// The manifests for all loaders of a large fleet take longer on the origin's
// link than a third of the weights, and the origin accepts few connections.
func (l *Loader) manifestFromPeers(ctx context.Context, t target) (Manifest, bool) {
	if l.corruptManifests[t.version] {
		return Manifest{}, false
	}
	list, err := l.listServers(ctx)
	if err != nil {
		return Manifest{}, false // the origin needs no list
	}
	addresses := []string{l.cfg.Backend}
	for _, s := range l.latestServers(list) {
		if s.Region == l.cfg.Identity.Region && s.Address != l.cfg.Backend {
			addresses = append(addresses, s.Address)
		}
	}
	key := manifestKey(t.model.Name, t.version)
	fetchers := awweights.RegionFetchers(key, addresses)
	if slices.Contains(fetchers, l.cfg.Backend) {
		return Manifest{}, false
	}
	end := l.cfg.Clock.Now().Add(l.manifestWait)
	for ctx.Err() == nil && l.cfg.Clock.Now().Before(end) {
		target, ok := l.peerTarget(fetchers[l.rng.IntN(len(fetchers))])
		if ok {
			reply, err := awtransfer.ChunkMap(ctx, l.dialer, target, l.cfg.Identity, key, true)
			var m Manifest
			if err == nil && json.Unmarshal(reply.Manifest, &m) == nil && m.Model == t.model.Name && m.Version == t.version {
				return m, true
			}
		}
		awwatch.Sleep(ctx, manifestPoll)
	}
	return Manifest{}, false
}
