package pollenfakehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollensettings"
)

// ServersSettings are the settings of a process with stand-ins for backend servers.
type ServersSettings struct {
	// ControlAddress takes faults and gives ledgers under the path "/NAME/stand-in/".
	ControlAddress netip.AddrPort
	Servers        []ServerSettings
}

// ServerSettings are the settings of one stand-in for a backend server.
type ServerSettings struct {
	Name        string
	Address     netip.AddrPort
	Slots       int
	Connections int
	ConnectTime pollensettings.Duration
	ServiceTime pollensettings.Duration
	ShardTime   pollensettings.Duration
	ColdTime    pollensettings.Duration
	ColdFactor  float64
	Warm        bool
}

// Check returns a *pollensettings.FieldError for the first wrong value.
func (s *ServersSettings) Check() error {
	if err := pollensettings.RequireAddress("ControlAddress", s.ControlAddress); err != nil {
		return err
	}
	for n, server := range s.Servers {
		field := fmt.Sprintf("Servers[%d]", n)
		if err := pollensettings.RequireAddress(field+".Address", server.Address); err != nil {
			return err
		}
		if err := pollensettings.RequireText(field+".Name", server.Name); err != nil {
			return err
		}
		if server.Slots < 1 || server.Connections < server.Slots {
			return &pollensettings.FieldError{Field: field, Problem: "want at least one slot, and a connection for each"}
		}
	}
	return nil
}

// RunServers serves stand-ins for backend servers until stop is done.
func RunServers(stop context.Context, settings *ServersSettings) error {
	control := http.NewServeMux()
	var group sync.WaitGroup
	failures := make(chan error, len(settings.Servers)+1)
	for n, s := range settings.Servers {
		listener, err := net.Listen("tcp", s.Address.String())
		if err != nil {
			return &ListenError{Address: s.Address, Err: err}
		}
		limited := pollenfakeserver.NewListener(pollenfakeserver.ListenerConfig{
			Listener: listener, Connections: s.Connections, ConnectTime: s.ConnectTime.Std(),
		})
		server := pollenfakeserver.New(s.config(uint64(n)))
		prefix := "/" + s.Name
		control.Handle(prefix+"/", http.StripPrefix(prefix, pollenfakeserver.NewControlHandler(server, limited)))
		group.Go(func() { failures <- serveUntil(stop, quiet(pollenfakeserver.NewHandler(server)), limited) })
	}
	listener, err := net.Listen("tcp", settings.ControlAddress.String())
	if err != nil {
		return &ListenError{Address: settings.ControlAddress, Err: err}
	}
	group.Go(func() { failures <- serveUntil(stop, &http.Server{Handler: control}, listener) })
	group.Wait()
	close(failures)
	var all error
	for err := range failures {
		all = errors.Join(all, err)
	}
	return all
}

func (s *ServerSettings) config(seed uint64) pollenfakeserver.Config {
	return pollenfakeserver.Config{
		Name: s.Name, Slots: s.Slots, ServiceTime: s.ServiceTime.Std(), ShardTime: s.ShardTime.Std(),
		ColdTime: s.ColdTime.Std(), ColdFactor: s.ColdFactor, Warm: s.Warm, Seed: seed,
	}
}

// quiet returns a server that does not log the connections that it breaks on purpose.
func quiet(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
}
