// Command pollenentry runs an entry instance and checks its settings.
//
// The subcommand serve runs an instance for callers that use package pollencaller; front runs one that serves callers over
// HTTP on the users' platform: the environment in which pollenline's users run it, with protocols of its own. Package
// pollenplatform is the adapter to those protocols.
package main
