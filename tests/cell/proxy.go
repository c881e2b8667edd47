// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cell

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Proxies is a set of named TCP proxies between daemons and the services they call. Each can
// drop traffic in one or both directions or refuse connections.
type Proxies struct {
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	byName map[string]*toxiproxy.Proxy
}

// NewProxies returns an empty set; Close stops its proxies.
func NewProxies() *Proxies {
	logger := zerolog.Nop()
	return &Proxies{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), logger),
		byName: map[string]*toxiproxy.Proxy{},
	}
}

// GetOrStart returns the listen address of the named proxy. If there is none yet, it starts
// one that forwards to address.
func (p *Proxies) GetOrStart(name, address string) string {
	if proxy, err := p.get(name); err == nil {
		return proxy.Listen
	}
	proxy := p.start(name, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = proxy
	return proxy.Listen
}

// start tries ports until one is free. A port that was just found free may be in use again:
// while a process is being started, it briefly holds a copy of all listeners.
func (p *Proxies) start(name, address string) *toxiproxy.Proxy {
	for {
		proxy := toxiproxy.NewProxy(p.server, name, FreeAddress(), address)
		if proxy.Start() == nil {
			return proxy
		}
	}
}

// Close stops all proxies.
func (p *Proxies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byName {
		proxy.Stop()
	}
}

// Direction is a direction of traffic through a proxy.
type Direction string

// Requests flow towards the proxied service, Answers flow back from it.
const (
	Requests Direction = "upstream"
	Answers  Direction = "downstream"
)

const toxicPrefix = "cut-"

// Cut drops all traffic in the given directions. Connections stay open without progress, as
// they do when packets are lost.
func (p *Proxies) Cut(name string, directions ...Direction) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	for _, d := range directions {
		toxic := fmt.Sprintf(`{"name":"%s%s","type":"timeout","stream":"%s","attributes":{"timeout":0}}`, toxicPrefix, d, d)
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			return err
		}
	}
	return nil
}

// Heal ends all cuts of the named proxy.
func (p *Proxies) Heal(name string) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	proxy.Toxics.ResetToxics(context.Background())
	return nil
}

// Refuse closes all connections of the named proxy and refuses new ones.
func (p *Proxies) Refuse(name string) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	proxy.Stop()
	return nil
}

// Accept accepts connections again after Refuse.
func (p *Proxies) Accept(name string) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	for proxy.Start() != nil {
		time.Sleep(acceptRetryDelay)
	}
	return nil
}

const acceptRetryDelay = time.Millisecond

func (p *Proxies) get(name string) (*toxiproxy.Proxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.byName[name]
	if !ok {
		return nil, fmt.Errorf("no proxy %q", name)
	}
	return proxy, nil
}
