// Package pollenevent keeps the newest control decisions and request explanations in bounded rings.
package pollenevent
