// Package pollenlog configures logging through klog and slog as JSON lines, and provides a writer that never blocks.
package pollenlog
