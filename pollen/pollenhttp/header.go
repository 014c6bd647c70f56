package pollenhttp

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// KeepAliveTimeout returns how long an idle connection may be used: half of what the server states, or zero if it states
// nothing, which makes the pool use its own idle timeout.
func KeepAliveTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(n)*time.Second/2, time.Millisecond)
		}
	}
	return 0
}

// hopByHopFields are the header fields that concern one connection only and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// ForwardedHeader returns the header without its hop-by-hop fields.
func ForwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		forwarded.Del(name)
	}
	return forwarded
}

// HeaderBytes returns the least size of a header when it is sent over HTTP/1.1: a space before a value may be left out.
func HeaderBytes(header http.Header) int64 {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + len(":\r\n")
		}
	}
	return int64(total)
}

// DeleteFields deletes the fields whose canonical names begin with a prefix.
func DeleteFields(header http.Header, prefix string) {
	maps.DeleteFunc(header, func(name string, _ []string) bool { return strings.HasPrefix(name, prefix) })
}
