// Package pollentrial runs entry instances against fakes in virtual time and judges what came of it.
//
// Instances are put together as the program does it; only the store, the calls between instances, the backend
// servers and the actor's thread are fakes. A trial must run inside a testing/synctest bubble.
package pollentrial
