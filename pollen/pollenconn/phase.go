package pollenconn

// Phase is how far the current request on a connection has come.
type Phase int

// The phases of a connection.
const (
	// Waiting means that the connection was opened and nothing has come on it.
	Waiting Phase = iota
	// Reading means that the head of a request has begun to come and has not come completely.
	Reading
	// Serving means that the rest of a request comes, or that it is handled.
	Serving
	// Idle means that a request was answered and nothing has come since.
	Idle
)
