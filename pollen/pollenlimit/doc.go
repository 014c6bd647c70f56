// Package pollenlimit limits the concurrent requests to each backend server.
//
// A Limiter holds the concurrency limit and the queue of one server. The limit starts at one request, increases while
// answer times show that the server has capacity for more, and resets to one on every signal of a cold start.
package pollenlimit
