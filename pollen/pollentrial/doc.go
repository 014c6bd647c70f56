// Package pollentrial simulates a fleet of entry instances under injected faults and records what callers observe.
//
// Instances are constructed as in the program; only the store, the calls between instances, the backend servers and
// the actor's thread are fakes. Tests run trials in virtual time, inside a testing/synctest bubble.
package pollentrial
