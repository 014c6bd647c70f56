// Package pollencommand runs the subcommands of all programs and maps their errors to exit statuses.
package pollencommand
