// Package pollendrain decides which requests a stopping instance still takes, and when the open ones get their final answer.
//
// Callers find an instance in the directory's answers, which they cache, so that requests keep coming after the stop has begun. A
// request that is taken and not answered before the process exits ends with its connection: its caller learns nothing, and may not
// repeat it if it runs once at most.
package pollendrain
