package pollenfakehost

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollensettings"
)

// PathSetInstances takes the list that is served once the lag is over.
const PathSetInstances = "/stand-in/instances"

// InventorySettings are the settings of the stand-in for the platform's instance list.
type InventorySettings struct {
	Address netip.AddrPort
	// Lag is how old the served list is.
	Lag pollensettings.Duration
	// Instances is the list at the start.
	Instances []polleninventory.Entry
}

// Check returns a *pollensettings.FieldError for the first wrong value.
func (s *InventorySettings) Check() error {
	if s.Lag < 0 {
		return &pollensettings.FieldError{Field: "Lag", Problem: "is below zero"}
	}
	return pollensettings.RequireAddress("Address", s.Address)
}

// RunInventory serves the stand-in for the instance list until stop is done.
func RunInventory(stop context.Context, settings *InventorySettings) error {
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return &ListenError{Address: settings.Address, Err: err}
	}
	return serveUntil(stop, &http.Server{Handler: NewInventoryHandler(settings)}, listener)
}

// NewInventoryHandler serves a lagging list.
func NewInventoryHandler(settings *InventorySettings) http.Handler {
	inventory := &inventory{lag: settings.Lag.Std()}
	inventory.versions = []version{{list: polleninventory.List{Instances: settings.Instances}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+polleninventory.PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		// A reader that has gone away has no use for the list.
		_ = json.NewEncoder(w).Encode(inventory.served())
	})
	mux.HandleFunc("POST "+PathSetInstances, func(w http.ResponseWriter, r *http.Request) {
		var list polleninventory.List
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		inventory.set(list)
	})
	return mux
}

// inventory holds lists with the times from when on they hold.
type inventory struct {
	lag      time.Duration
	mu       sync.Mutex
	versions []version
}

// version is one list.
type version struct {
	since time.Time
	list  polleninventory.List
}

func (i *inventory) set(list polleninventory.List) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.versions = append(i.versions, version{since: time.Now(), list: list})
}

// served returns the newest list that is at least as old as the lag.
func (i *inventory) served() polleninventory.List {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.versions) > 1 && time.Since(i.versions[1].since) >= i.lag {
		i.versions = i.versions[1:]
	}
	return i.versions[0].list
}
