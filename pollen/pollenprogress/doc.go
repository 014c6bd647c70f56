// Package pollenprogress bounds transfers by their progress: one that is slow, because many share a link, goes on; one that has stalled ends.
package pollenprogress
