package daemon

import (
	"strings"

	"github.com/valyala/fasthttp"

	"chestnutlatch/config"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
)

// Platform is what a deployment's adapter gives to a daemon that runs on a
// platform with an interface of its own.
type Platform struct {
	// Dialect names the headers of callers and targets.
	Dialect guard.Dialect
	// Document is the operators' configuration in the store.
	Document config.DocumentSource
	// ReadyPath answers whether the daemon takes callers.
	ReadyPath string
	// AnnouncePath and a target's id make the path of its heartbeats.
	AnnouncePath string
	// ReadBeat decodes a heartbeat.
	ReadBeat func(id string, raw []byte) (guard.Beat, error)
}

// serveReadiness answers the platform's question whether callers may come.
func (d *Daemon) serveReadiness(c *fasthttp.RequestCtx) {
	switch {
	case string(c.Path()) != d.platform.ReadyPath:
		c.Error("unknown path", fasthttp.StatusNotFound)
	case d.stopping.Load():
		c.Error("daemon is stopping", fasthttp.StatusServiceUnavailable)
	case d.guard.IsLeaving():
		c.Error("the target here leaves, and its instance with it", fasthttp.StatusServiceUnavailable)
	case d.table.Revision() == 0:
		c.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
	default:
		c.SetBodyString("ok\n")
	}
}

// serveAnnouncements takes the heartbeats (PUT) and the leaves (DELETE) of the
// targets on this instance.
func (d *Daemon) serveAnnouncements(c *fasthttp.RequestCtx) {
	id, ok := strings.CutPrefix(string(c.Path()), d.platform.AnnouncePath)
	if !ok {
		c.Error("unknown path", fasthttp.StatusNotFound)
		return
	}
	changed := false
	switch string(c.Method()) {
	case fasthttp.MethodPut:
		b, err := d.platform.ReadBeat(id, c.PostBody())
		if err != nil {
			d.meter.BadBeats.Inc()
			d.log.Warn("heartbeat refused", "error", err)
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		changed = d.guard.Beat(b)
	case fasthttp.MethodDelete:
		changed = d.guard.Gone(ident.Target(id))
	default:
		c.Error("use PUT or DELETE", fasthttp.StatusMethodNotAllowed)
		return
	}
	if changed {
		d.fleet.setTargets(d.guard.Infos())
	}
	c.SetContentType("application/json")
	c.SetBodyString("{}")
}
