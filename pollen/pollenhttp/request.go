package pollenhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
)

// TargetError reports a request target that is not a path, so that the request can't be forwarded.
type TargetError struct {
	Target string
}

func (e *TargetError) Error() string { return fmt.Sprintf("request target %q is not a path", e.Target) }

// RequestConfig describes an outgoing request.
type RequestConfig struct {
	Method  string
	Address netip.AddrPort
	Host    string
	// Target is the path and query, which are sent unchanged.
	Target string
	Header http.Header
	Body   []byte
}

// NewRequest returns the HTTP request, or a *TargetError.
func NewRequest(ctx context.Context, config RequestConfig) (*http.Request, error) {
	header := config.Header
	path, query, hasQuery := strings.Cut(config.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, &TargetError{Target: config.Target}
	}
	target := &url.URL{Scheme: "http", Host: config.Address.String(), RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		// If an opaque target begins with two slashes, net/http writes the scheme before it.
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return nil, &TargetError{Target: config.Target}
		}
		target.Path, target.RawPath = decoded, path
	} else {
		target.Opaque = path
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		header["User-Agent"] = []string{""}
	}
	r := (&http.Request{
		Method: config.Method, URL: target, Host: config.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if len(config.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(config.Body))
		r.ContentLength = int64(len(config.Body))
	}
	return r, nil
}
