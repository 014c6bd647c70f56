// Package pollenmemory bounds the bytes that an instance holds of bodies from other systems, over all requests together.
package pollenmemory
