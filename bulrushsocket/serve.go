package bulrushsocket

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Serve listens on the server's address and serves requests until the context ends.
func Serve(ctx context.Context, server *http.Server) error {
	listener, err := NewListenConfig().Listen(ctx, "tcp", server.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", server.Addr)
	}
	return nil
}
