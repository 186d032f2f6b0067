package awagent

import (
	"context"
	"math/rand/v2"

	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awrpc"
	"arbutuswind/io/awtransfer"
)

// transferHost implements [awtransfer.Host] for the transfer of one version.
type transferHost struct {
	agent    *Agent
	digest   string
	previous *awproto.TransferReport // report of an earlier, interrupted part of the transfer
}

func (a *Agent) newTransfer(digest string, m awweights.Manifest) *awtransfer.Transfer {
	w := a.cfg.Settings.Weights
	return awtransfer.New(awtransfer.Config{
		Clock: a.cfg.Clock, Rand: rand.New(rand.NewPCG(a.cfg.Incarnation, awweights.Score(digest, a.identity.Instance))),
		Host: &transferHost{agent: a, digest: digest, previous: a.weights.report()}, Dialer: a.dialer, Identity: a.identity,
		Exchange: awweights.Config{
			Self:        awweights.Source{ID: a.identity.Instance, Region: a.identity.Region},
			StoreRegion: w.StoreRegion, Digest: digest, Manifest: m,
			LinkRate: bytesPerSecond(w.LinkMbit), RegionRate: bytesPerSecond(w.RegionMbit),
		},
		Held: a.weights.Held(digest),
	})
}

// View implements [awtransfer.Host].
func (h *transferHost) View(digest string) awtransfer.View {
	view, wanted := h.agent.wantsVersion(digest)
	out := awtransfer.View{RegionFetcher: view.RegionFetcher, Revision: view.Revision, Wanted: wanted}
	for _, p := range view.Peers {
		out.Peers = append(out.Peers, awtransfer.Peer{
			Source: awweights.Source{ID: p.Instance, Region: p.Region, RegionFetcher: p.RegionFetcher},
			Target: awrpc.Target{Address: h.agent.addresses.lookup(p), Instance: p.Instance},
		})
	}
	return out
}

// LinkShare implements [awtransfer.Host].
func (h *transferHost) LinkShare() float64 { return h.agent.linkShare() }

// FetchFromOrigin implements [awtransfer.Host].
func (h *transferHost) FetchFromOrigin(ctx context.Context, _ int, want string) ([]byte, error) {
	return h.agent.store.Chunk(ctx, want)
}

// Put implements [awtransfer.Host].
func (h *transferHost) Put(index int, want string, data []byte) bool {
	return h.agent.weights.Put(h.digest, index, want, data)
}

// Has implements [awtransfer.Host].
func (h *transferHost) Has(index int) bool {
	data, _ := h.agent.weights.Chunk(h.digest, index)
	return data != nil
}

// Progress implements [awtransfer.Host].
func (h *transferHost) Progress(s awweights.Stats) { h.agent.weights.setProgress(h.previous, s) }
