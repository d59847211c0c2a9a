package saffronbend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/api"
	"saffronbend/internal/ingress"
	"saffronbend/internal/operator"
	"saffronbend/internal/peer"
	"saffronbend/internal/routine"
	"saffronbend/internal/worker"
)

const (
	// heartbeatBatch is how many heartbeats are admitted together for each processor, heartbeatPatience how long others
	// wait: a worker gives up after 4 s. In smaller batches, or with less patience, more workers lose their leases in a
	// flood; in larger ones the controller's own duties wait for longer, and more leaders lose their term.
	heartbeatBatch    = 32
	heartbeatPatience = 3800 * time.Millisecond

	// The connections that a controller opens itself count against the same limit as those it accepts: some for the store,
	// the cloud and the other controllers, and one in so many for command pushes. At least minConnections are accepted.
	serviceConnections     = 40
	connectionsPerOutgoing = 8
	minConnections         = 16

	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	shutdownTimeout   = time.Second
)

// serve serves users, workers and health checks until ctx ends. Heartbeats are many and regular; everything else goes
// before them.
func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	router := httprouter.New()
	// Users' clients do not follow redirects.
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	api.New(n.store, n.newInfo(), n.settings, n.log, n.clock.UnixMicro).Register(router)
	worker.Register(router, workerService{n.leadership})

	maxConnections := n.settings.Deployment.Limits.MaxConnections
	outgoing := serviceConnections + maxConnections/connectionsPerOutgoing
	limiter := ingress.NewConnLimiter(max(minConnections, maxConnections-outgoing))
	admission := ingress.NewAdmission(heartbeatBatch*runtime.GOMAXPROCS(0), heartbeatPatience)
	var group routine.Group
	defer group.Wait()
	admissionCtx, stopAdmission := context.WithCancel(ctx)
	defer stopAdmission() // also when the listener fails while ctx goes on
	group.Go(func() { admission.Run(admissionCtx) })

	server := &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       ingress.ConnContext,
		ConnState: func(conn net.Conn, connState http.ConnState) {
			limiter.ConnState(conn, connState)
			admission.ConnState(conn, connState)
		},
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { shutDown(ctx, server) })
	defer stop()
	if err := server.Serve(admission.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// shutDown ends a server once ctx has ended, and leaves requests that are being served a moment.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // its connections end with the process
	}
}

// operatorRoutes returns the operators' services, which are served beside that for the other controllers.
func (n *Node) operatorRoutes() []peer.Route {
	service := &operatorService{settings: n.settings, leadership: n.leadership}
	drainPath, drainHandler := operator.DrainHandler(service, n.network.Dial)
	rebalancingPath, rebalancingHandler := operator.RebalancingHandler(service, n.network.Dial)
	return []peer.Route{
		{Prefix: drainPath, Handler: drainHandler},
		{Prefix: rebalancingPath, Handler: rebalancingHandler},
	}
}
