package main

import (
	"os"
	"sync"
	"time"
)

// lab is a small deployment with its stand-ins.
type lab struct {
	rec      *record
	store    *store
	address  string // of the store
	trouble  bool
	tmp      string
	gateways []*gateway
	closing  sync.Once
}

func newLab(dir string) (*lab, error) {
	rec, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	st := newStore()
	address, err := st.serve()
	if err != nil {
		return nil, err
	}
	return &lab{rec: rec, store: st, address: address, trouble: os.Getenv("TROUBLE") != "0", tmp: tmp}, nil
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.closing.Do(func() {
		for _, g := range l.gateways {
			g.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(l.tmp)
		}
		l.rec.close()
	})
}

// addGateway starts a further machine and waits until it is ready.
func (l *lab) addGateway() (*gateway, error) {
	g, err := newGateway(l.tmp, len(l.gateways)+1, l.address)
	if err != nil {
		return nil, err
	}
	l.gateways = append(l.gateways, g)
	if err := g.start(); err != nil {
		return nil, err
	}
	l.rec.note("%s started", g.name)
	return g, g.awaitReady(20 * time.Second)
}

// startGateways starts the first machines and returns the addresses for clients.
func (l *lab) startGateways(n int) ([]string, error) {
	var fronts []string
	for range n {
		g, err := l.addGateway()
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, g.front)
	}
	return fronts, nil
}
