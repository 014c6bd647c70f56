package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
)

// StatusError reports an HTTP answer with a status other than 200.
type StatusError struct {
	URL    string
	Status string
	// Text is the begin of the answer's body.
	Text string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answers with %s: %s", e.URL, e.Status, e.Text)
}

// maxErrorBytes bounds what is shown of the body of an error.
const maxErrorBytes = 300

// fetch decodes what an instance answers under a path of its metrics address.
func fetch(ctx context.Context, address netip.AddrPort, path string, answer any) error {
	url := "http://" + address.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		if err != nil {
			return fmt.Errorf("%s: %w", url, err)
		}
		return &StatusError{URL: url, Status: response.Status, Text: strings.TrimSpace(string(text))}
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	return nil
}
