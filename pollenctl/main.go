package main

import (
	"flag"
	"net/netip"
	"os"
	"time"

	"pollenline.example/pollen/pollencommand"
)

func main() {
	os.Exit(pollencommand.Main(append(callerCommands(), operatorCommands()...)...))
}

// addressFlag declares the flag that names an instance's address.
func addressFlag(flags *flag.FlagSet, address *netip.AddrPort, usage string) {
	flags.TextVar(address, "address", netip.AddrPort{}, usage)
}

// defaultTimeout bounds a call that has no timeout of its own.
const defaultTimeout = 8 * time.Second

// requireAddress returns an error unless an address was given.
func requireAddress(address netip.AddrPort) error {
	if !address.IsValid() {
		return &pollencommand.UsageError{Problem: "flag -address is required, such as -address 127.0.0.1:7100"}
	}
	return nil
}
