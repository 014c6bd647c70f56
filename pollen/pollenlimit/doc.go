// Package pollenlimit bounds the work that one backend server is given.
//
// A line holds one exact limit and one queue for one server. The limit starts at one request, rises while
// answers show that the server bears more, and falls back at every sign of a cold start.
package pollenlimit
