package pollenfakehost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollensettings"
)

// StoreSettings are the settings of the fake store.
type StoreSettings struct {
	Address netip.AddrPort
	// WritesPerSecond and ReadsPerSecond are the rate limits of the store.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Check returns a *pollensettings.FieldError for the first invalid value.
func (s *StoreSettings) Check() error {
	if err := pollensettings.RequireAddress("Address", s.Address); err != nil {
		return err
	}
	if s.WritesPerSecond <= 0 || s.ReadsPerSecond <= 0 {
		return &pollensettings.FieldError{
			Field:   "WritesPerSecond, ReadsPerSecond",
			Problem: fmt.Sprintf("%v and %v: want both above zero", s.WritesPerSecond, s.ReadsPerSecond),
		}
	}
	return nil
}

// RunStore serves the fake store until stop is done.
func RunStore(stop context.Context, settings *StoreSettings) error {
	handler := pollenfakestore.NewHandler(pollenfakestore.HandlerConfig{
		Store: pollenfakestore.New(), WritesPerSecond: settings.WritesPerSecond, ReadsPerSecond: settings.ReadsPerSecond,
	})
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return &ListenError{Address: settings.Address, Err: err}
	}
	return serveUntil(stop, &http.Server{Handler: handler}, listener)
}

// ListenError reports an address on which the process cannot listen.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string {
	return "cannot listen on " + e.Address.String() + ": " + e.Err.Error()
}

func (e *ListenError) Unwrap() error { return e.Err }

// serveUntil serves on the listener until stop is done or the server fails.
func serveUntil(stop context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-stop.Done():
		return server.Close()
	}
}
