// Package pollenlog configures klog and the actor library to write JSON lines, and provides a writer that never blocks.
package pollenlog
