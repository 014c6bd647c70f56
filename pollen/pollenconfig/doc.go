// Package pollenconfig holds the operators' configuration as documents that a head refers to.
//
// Each availability zone and each service is a document. A change writes new documents and then replaces the
// head by compare-and-swap, so that several documents change atomically and revisions order all changes.
package pollenconfig
