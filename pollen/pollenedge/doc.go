// Package pollenedge serves callers and operators over Connect.
package pollenedge
