package bulrushsocket

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Serve listens on a server's address and serves until the context ends.
func Serve(ctx context.Context, server *http.Server) error {
	listener, err := NewListenConfig().Listen(ctx, "tcp", server.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", server.Addr)
	}
	return nil
}
