// Package pollensuspect decides which requests are held back because servers end while they run them.
//
// Each instance records under which requests it has seen servers end, shares that with the others, and forgets it when a
// server has answered such a request. A request with evidence against it goes to one server first, and to none once the
// evidence suffices. The package keeps state in memory only.
package pollensuspect
