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

// ServersSettings are the settings of a process that runs fake backend servers.
type ServersSettings struct {
	// ControlAddress serves the control paths of each server under the prefix "/NAME".
	ControlAddress netip.AddrPort
	Servers        []ServerSettings
}

// ServerSettings are the settings of one fake backend server.
//
// Connections and ConnectTime are those of pollenfakeserver.ListenerConfig, the other fields but Address those of
// pollenfakeserver.Config.
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

// Check returns a *pollensettings.FieldError for the first invalid value.
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
			return &pollensettings.FieldError{
				Field:   field,
				Problem: fmt.Sprintf("%d slots and %d connections: want at least one slot and one connection per slot", server.Slots, server.Connections),
			}
		}
	}
	return nil
}

// RunServers serves fake backend servers and their control paths until stop is done.
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
		group.Go(func() { failures <- serveUntil(stop, newQuietServer(pollenfakeserver.NewHandler(server)), limited) })
	}
	listener, err := net.Listen("tcp", settings.ControlAddress.String())
	if err != nil {
		return &ListenError{Address: settings.ControlAddress, Err: err}
	}
	group.Go(func() { failures <- serveUntil(stop, &http.Server{Handler: control}, listener) })
	group.Wait()
	close(failures)
	var joined error
	for err := range failures {
		joined = errors.Join(joined, err)
	}
	return joined
}

func (s *ServerSettings) config(seed uint64) pollenfakeserver.Config {
	return pollenfakeserver.Config{
		Name: s.Name, Slots: s.Slots, ServiceTime: s.ServiceTime.Std(), ShardTime: s.ShardTime.Std(),
		ColdTime: s.ColdTime.Std(), ColdFactor: s.ColdFactor, Warm: s.Warm, Seed: seed,
	}
}

// newQuietServer returns a server without an error log, since faults break connections on purpose.
func newQuietServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
}
