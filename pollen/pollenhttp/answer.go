package pollenhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptrace"
	"net/textproto"
	"syscall"
)

// IsBroken reports whether an error says that the connection was closed or reset. Keep-alive probes that are not answered end
// a connection with another error.
func IsBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// MaxInterimAnswers is the number of 1xx answers that may precede an answer; each costs processor time to read.
const MaxInterimAnswers = 8

// TooManyInterimAnswersError reports a server that sends 1xx answers without end.
type TooManyInterimAnswersError struct{}

func (e *TooManyInterimAnswersError) Error() string {
	return fmt.Sprintf("more than %d interim answers", MaxInterimAnswers)
}

// WithInterimLimit returns a context with which a request fails after more than MaxInterimAnswers 1xx answers.
func WithInterimLimit(ctx context.Context) context.Context {
	interim := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
		if interim++; interim > MaxInterimAnswers {
			return &TooManyInterimAnswersError{}
		}
		return nil
	}})
}
