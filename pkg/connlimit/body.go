package connlimit

import (
	"context"
	"net/http"
	"os"

	"github.com/fescuecourse/fescuecourse/pkg/membudget"
)

// ReadBody reads the body of a request into a buffer, until ctx ends, the client sends nothing for
// too long, or the connection or the buffer has to make room for others. The errors are those of
// membudget.Buffer.Fill; a read that was ended is os.ErrDeadlineExceeded.
func ReadBody(ctx context.Context, r *http.Request, buf *membudget.Buffer, limit int64) error {
	c := Of(r.Context())
	c.BeginBody()
	stop := context.AfterFunc(ctx, c.Interrupt)
	buf.Preemptible(c.Interrupt)
	err := buf.Fill(r.Body, limit)
	stop()
	if !c.EndBody() && err == nil {
		return os.ErrDeadlineExceeded // the connection cannot carry the request any further
	}
	return err //nolint:wrapcheck // callers tell the errors apart
}

// Bodies returns a handler that bounds how slowly bodies may arrive. Handlers that read a body
// other than by ReadBody call EndBody on the connection at its end.
func Bodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			Of(r.Context()).BeginBody()
		}
		next.ServeHTTP(w, r)
	})
}
