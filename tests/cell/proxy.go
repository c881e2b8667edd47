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

// Proxies stand between daemons and whatever they talk to, and cut or bend what
// passes.
type Proxies struct {
	server *toxiproxy.ApiServer
	mu     sync.Mutex
	byName map[string]*toxiproxy.Proxy
}

// NewProxies returns proxies for nothing yet.
func NewProxies() *Proxies {
	logger := zerolog.Nop()
	return &Proxies{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), logger),
		byName: map[string]*toxiproxy.Proxy{},
	}
}

// GetOrStart returns the address of the proxy of that name, and starts it before
// address if there is none yet.
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

// start tries ports until one is free. One that was just found free may not be:
// a process that is being started holds all listeners for a moment.
func (p *Proxies) start(name, address string) *toxiproxy.Proxy {
	for {
		proxy := toxiproxy.NewProxy(p.server, name, FreeAddress(), address)
		if proxy.Start() == nil {
			return proxy
		}
	}
}

// Close ends all proxies.
func (p *Proxies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byName {
		proxy.Stop()
	}
}

// Direction is which way a cut works.
type Direction string

// The directions: what goes to the proxied service, and its answers.
const (
	Requests Direction = "upstream"
	Answers  Direction = "downstream"
)

const toxicPrefix = "cut-"

// Cut lets nothing pass in the given directions; connections hang, as they do
// when packets are lost.
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

// Heal ends a cut.
func (p *Proxies) Heal(name string) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	proxy.Toxics.ResetToxics(context.Background())
	return nil
}

// Refuse closes all connections and accepts no new ones.
func (p *Proxies) Refuse(name string) error {
	proxy, err := p.get(name)
	if err != nil {
		return err
	}
	proxy.Stop()
	return nil
}

// Accept ends Refuse.
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
