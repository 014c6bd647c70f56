// Package pollenconfig holds the operators' configuration as documents under one head.
//
// Each availability zone and each service is a document. A change writes new documents and then replaces the
// head by compare-and-swap, so that several documents change at once and one revision orders all changes.
package pollenconfig
