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
	"saffronbend/internal/metrics"
	"saffronbend/internal/operator"
	"saffronbend/internal/peer"
	"saffronbend/internal/routine"
	"saffronbend/internal/worker"
)

const (
	// heartbeatBatchPerCPU is the number of heartbeats per CPU that are admitted together. Smaller batches cause more
	// workers to lose their leases when heartbeats flood in; larger ones delay the controller's own work, and more
	// leaders lose their term.
	//
	// maxHeartbeatWait is how long the other heartbeats may wait for admission. Workers time out after 4 s. With a
	// shorter wait, more workers lose their leases when heartbeats flood in.
	heartbeatBatchPerCPU = 32
	maxHeartbeatWait     = 3800 * time.Millisecond

	// Outgoing connections count against the same limit as accepted ones. reservedConnections are reserved for the store,
	// the cloud and the other controllers, and one in connectionsPerCommandPush of the limit for command pushes to
	// workers. At least minConnections are accepted.
	reservedConnections       = 40
	connectionsPerCommandPush = 8
	minConnections            = 16

	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	shutdownTimeout   = time.Second
)

// serve serves users, workers and health checks until ctx is done. Heartbeats have a lower priority than all other
// requests, since they are numerous and repeated regularly.
func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	router := httprouter.New()
	// Users' clients do not follow redirects, so none are sent.
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	api.New(n.store, n.newControllerInfo(), n.settings, n.log, n.clock.UnixMicro).Register(router)
	worker.Register(router, workerService{n.leadership})

	maxConnections := n.settings.Deployment.Limits.MaxConnections
	outgoing := reservedConnections + maxConnections/connectionsPerCommandPush
	limiter := ingress.NewConnLimiter(max(minConnections, maxConnections-outgoing))
	admission := ingress.NewAdmission(heartbeatBatchPerCPU*runtime.GOMAXPROCS(0), maxHeartbeatWait)
	var group routine.Group
	defer group.Wait()
	admissionCtx, stopAdmission := context.WithCancel(ctx)
	defer stopAdmission() // also if the listener fails before ctx is done
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

// shutDown shuts the server down after ctx is done. Requests in flight have shutdownTimeout to complete.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // the remaining connections end with the process
	}
}

// operatorRoutes returns the routes of the operators' services, which share the listener for the other controllers.
func (n *Node) operatorRoutes() []peer.Route {
	const anyMethod = "*method"
	service := &operatorService{settings: n.settings, leadership: n.leadership}
	drainPath, drainHandler := operator.DrainHandler(service, n.network.Dial)
	rebalancingPath, rebalancingHandler := operator.RebalancingHandler(service, n.network.Dial)
	return []peer.Route{
		{Method: http.MethodPost, Pattern: drainPath + anyMethod, Handler: drainHandler},
		{Method: http.MethodPost, Pattern: rebalancingPath + anyMethod, Handler: rebalancingHandler},
		{Method: http.MethodGet, Pattern: metrics.Path, Handler: n.metrics.Handler()},
	}
}
