// Package pollencatalog defines the immutable tables that requests are served from: routes, services, servers and
// instances.
//
// Package pollenview builds a Table and publishes it whole, so that one request sees one configuration version.
package pollencatalog
