package pollenfakehost

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollensettings"
)

// PathSetInstances is the HTTP path that accepts a new list, which is served after the lag.
const PathSetInstances = "/stand-in/instances"

// InventorySettings are the settings of the fake of the platform's instance list.
type InventorySettings struct {
	Address netip.AddrPort
	// Lag is the delay after which a new list is served.
	Lag pollensettings.Duration
	// Instances is the initial list.
	Instances []polleninventory.Entry
}

// Check returns a *pollensettings.FieldError for the first invalid value.
func (s *InventorySettings) Check() error {
	if s.Lag < 0 {
		return &pollensettings.FieldError{Field: "Lag", Problem: fmt.Sprintf("%v is below zero", s.Lag.Std())}
	}
	return pollensettings.RequireAddress("Address", s.Address)
}

// RunInventory serves the fake instance list until stop is done.
func RunInventory(stop context.Context, settings *InventorySettings) error {
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return &ListenError{Address: settings.Address, Err: err}
	}
	return serveUntil(stop, &http.Server{Handler: NewInventoryHandler(settings)}, listener)
}

// NewInventoryHandler returns a handler that serves the instance list with the lag of the settings.
func NewInventoryHandler(settings *InventorySettings) http.Handler {
	inventory := &inventory{lag: settings.Lag.Std()}
	inventory.lists = []timedList{{list: polleninventory.List{Instances: settings.Instances}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+polleninventory.PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(inventory.current())
	})
	mux.HandleFunc("POST "+PathSetInstances, func(w http.ResponseWriter, r *http.Request) {
		var list polleninventory.List
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		inventory.add(list)
	})
	return mux
}

// inventory holds the served list, followed by the newer lists that are not yet as old as the lag, oldest first.
type inventory struct {
	lag   time.Duration
	mu    sync.Mutex
	lists []timedList
}

// timedList is a list with the time when it was set.
type timedList struct {
	setAt time.Time
	list  polleninventory.List
}

func (i *inventory) add(list polleninventory.List) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lists = append(i.lists, timedList{setAt: time.Now(), list: list})
}

// current returns the newest list that is at least as old as the lag, or the initial list.
func (i *inventory) current() polleninventory.List {
	i.mu.Lock()
	defer i.mu.Unlock()
	for len(i.lists) > 1 && time.Since(i.lists[1].setAt) >= i.lag {
		i.lists = i.lists[1:]
	}
	return i.lists[0].list
}
