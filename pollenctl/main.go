package main

import (
	"flag"
	"net/netip"
	"os"
	"slices"
	"time"

	"pollenline.example/pollen/pollencommand"
)

func main() {
	os.Exit(pollencommand.Main(slices.Concat(callerCommands(), operatorCommands(), teamCommands(), placementCommands())...))
}

// addressFlag declares the -address flag.
func addressFlag(flags *flag.FlagSet, address *netip.AddrPort, usage string) {
	flags.TextVar(address, "address", netip.AddrPort{}, usage)
}

// operatorCallTimeout bounds each call of an operator's command.
const operatorCallTimeout = 8 * time.Second

// requireAddress returns a *UsageError if the -address flag is missing.
func requireAddress(address netip.AddrPort) error {
	if !address.IsValid() {
		return &pollencommand.UsageError{Problem: "flag -address is required, such as -address 127.0.0.1:7100"}
	}
	return nil
}
