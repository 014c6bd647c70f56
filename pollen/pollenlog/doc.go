// Package pollenlog sets klog and the actor library up to write JSON lines.
package pollenlog
