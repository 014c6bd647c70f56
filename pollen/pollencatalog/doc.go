// Package pollencatalog holds the immutable tables that traffic reads: routes, services, servers and instances.
//
// A Table is built by the control state and published whole, so that one request sees one configuration version.
package pollencatalog
