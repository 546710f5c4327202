package daemon

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"chestnutlatch/config"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
)

// Platform describes the interface of a deployment platform that differs from
// the product's own. A platform adapter provides it.
type Platform struct {
	// Dialect holds the platform's header names for callers and targets.
	Dialect guard.Dialect
	// Document is the source of the operators' configuration and evacuations in the
	// store.
	Document config.DocumentSource
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
	// HeartbeatPath is the prefix of the HTTP path of a target's heartbeats. The
	// target's id follows it.
	HeartbeatPath string
	// DecodeHeartbeat decodes the heartbeat of the target with the given id. The
	// text of its error is returned to the target.
	DecodeHeartbeat func(id string, raw []byte) (guard.Heartbeat, error)
}

// serveReadiness serves the platform's readiness check: 200 if the daemon accepts
// callers, otherwise 503. Other paths get 404.
func (d *Daemon) serveReadiness(c *fasthttp.RequestCtx) {
	switch {
	case string(c.Path()) != d.platform.ReadyPath:
		c.Error("unknown path", fasthttp.StatusNotFound)
	case d.stopping.Load():
		c.Error("daemon is stopping", fasthttp.StatusServiceUnavailable)
	case d.guard.IsTargetDraining():
		c.Error("the target here leaves, and its instance with it", fasthttp.StatusServiceUnavailable)
	case d.table.Revision() == 0:
		c.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
	default:
		c.SetBodyString("ok\n")
	}
}

// serveAnnouncements serves the heartbeats (PUT) and deregistrations (DELETE) of
// the targets on this instance. A target that leaves gets an acknowledgement only once its
// departure binds the next process too. A target that is ready is not accepted before the
// departures of the previous process are known.
func (d *Daemon) serveAnnouncements(c *fasthttp.RequestCtx) {
	id, ok := strings.CutPrefix(string(c.Path()), d.platform.HeartbeatPath)
	if !ok {
		c.Error("unknown path", fasthttp.StatusNotFound)
		return
	}
	changed, leaving := false, false
	switch string(c.Method()) {
	case fasthttp.MethodPut:
		heartbeat, err := d.platform.DecodeHeartbeat(id, c.PostBody())
		if err != nil {
			d.refuseHeartbeat(c, err)
			return
		}
		if leaving = heartbeat.Draining; !leaving && !d.departures.awaitLoaded() {
			c.Error("departures of the previous process are not known yet: repeat the heartbeat", fasthttp.StatusServiceUnavailable)
			return
		}
		changed = d.guard.ApplyHeartbeat(heartbeat)
	case fasthttp.MethodDelete:
		if err := guard.CheckTargetID(ident.Target(id)); err != nil {
			d.refuseHeartbeat(c, err)
			return
		}
		leaving = true
		changed = d.guard.Deregister(ident.Target(id))
	default:
		c.Error("use PUT or DELETE", fasthttp.StatusMethodNotAllowed)
		return
	}
	if changed {
		d.fleet.setTargets(d.guard.Targets())
	}
	if leaving && !d.departures.keep(context.Background()) {
		c.Error("the departure takes effect here, but could not be kept for the next process: repeat it", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetContentType("application/json")
	c.SetBodyString("{}")
}

func (d *Daemon) refuseHeartbeat(c *fasthttp.RequestCtx, err error) {
	d.meter.BadHeartbeats.Inc()
	d.log.Warn("heartbeat refused", "error", err)
	c.Error(err.Error(), fasthttp.StatusBadRequest)
}
