// Package gossiper sends control messages between instances over net/rpc.
//
// net/rpc has no timeouts, so this package adds one to each call and closes the
// connection of a call that times out.
//
// Usage:
//
//	g := gossiper.Gossiper{Timeout: time.Second}
//	reply, err := g.Exchange("127.0.0.1:8180", gossip)
//
// The receiving instance registers its RPC methods with Serve.
package gossiper

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

const (
	rpcPath    = "/v1/peer/rpc"
	rpcService = "Peer"
)

// ErrTimeout is returned by a call that was not answered in time.
var ErrTimeout = errors.New("gossiper: the call was not answered in time")

// Gossiper calls other instances and keeps connections open between calls.
type Gossiper struct {
	// Timeout bounds each call.
	Timeout time.Duration

	mutex   sync.Mutex
	clients map[string]*rpc.Client
}

// Exchange sends a gossip request to an instance and returns the reply.
func (g *Gossiper) Exchange(address string, request model.Gossip) (model.Gossip, error) {
	var reply model.Gossip
	err := g.call(address, "Exchange", request, &reply)
	return reply, err
}

// Configuration requests an instance's configuration.
func (g *Gossiper) Configuration(address string) (model.Head, error) {
	var head model.Head
	err := g.call(address, "Configuration", model.Empty{}, &head)
	return head, err
}

// Table requests the table of an instance's failure domain.
func (g *Gossiper) Table(address string) (model.Table, error) {
	var table model.Table
	err := g.call(address, "Table", model.Empty{}, &table)
	return table, err
}

// Changes requests changes of the store.
func (g *Gossiper) Changes(address string, query traffic.ChangesQuery) (traffic.ChangesReply, error) {
	var reply traffic.ChangesReply
	err := g.call(address, "Changes", query, &reply)
	return reply, err
}

// Lend asks a lender of quotas.
func (g *Gossiper) Lend(address string, query traffic.QuotaQuery) (traffic.QuotaReply, error) {
	var reply traffic.QuotaReply
	err := g.call(address, "Lend", query, &reply)
	return reply, err
}

// Timeline requests records from an instance's timeline.
func (g *Gossiper) Timeline(address string, query model.TimelineQuery) ([]model.Record, error) {
	var records []model.Record
	err := g.call(address, "Timeline", query, &records)
	return records, err
}

func (g *Gossiper) call(address, method string, args, reply any) error {
	client, err := g.client(address)
	if err != nil {
		return err
	}
	call := client.Go(rpcService+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(g.Timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = ErrTimeout
	}
	if err == nil {
		return nil
	}
	if _, ok := errors.AsType[rpc.ServerError](err); !ok {
		g.drop(address, client)
	}
	return fmt.Errorf("gossiper: %s: %w", address, err)
}

func (g *Gossiper) client(address string) (*rpc.Client, error) {
	g.mutex.Lock()
	client, ok := g.clients[address]
	g.mutex.Unlock()
	if ok {
		return client, nil
	}
	client, err := g.dial(address)
	if err != nil {
		return nil, err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if existing, ok := g.clients[address]; ok {
		client.Close()
		return existing, nil
	}
	if g.clients == nil {
		g.clients = make(map[string]*rpc.Client)
	}
	g.clients[address] = client
	return client, nil
}

// dial does the same as rpc.DialHTTPPath, but with a timeout.
func (g *Gossiper) dial(address string) (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp", address, g.Timeout)
	if err != nil {
		return nil, fmt.Errorf("gossiper: %w", err)
	}
	_ = conn.SetDeadline(time.Now().Add(g.Timeout))
	if _, err := io.WriteString(conn, "CONNECT "+rpcPath+" HTTP/1.0\n\n"); err != nil {
		conn.Close()
		return nil, fmt.Errorf("gossiper: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("gossiper: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		conn.Close()
		return nil, fmt.Errorf("gossiper: %s returned status %s", address, response.Status)
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(conn), nil
}

func (g *Gossiper) drop(address string, client *rpc.Client) {
	g.mutex.Lock()
	if g.clients[address] == client {
		delete(g.clients, address)
	}
	g.mutex.Unlock()
	client.Close()
}

// Close closes all connections.
func (g *Gossiper) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for address, client := range g.clients {
		client.Close()
		delete(g.clients, address)
	}
}

// Serve registers the methods of peer (Exchange, Configuration, Table, Timeline, or
// Changes and Lend on a managed platform) on a mux.
func Serve(mux *http.ServeMux, peer any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcService, peer); err != nil {
		return fmt.Errorf("gossiper: %w", err)
	}
	mux.Handle(rpcPath, server)
	return nil
}
