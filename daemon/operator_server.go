package daemon

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"chestnutlatch/guard"
	"chestnutlatch/ident"
)

// Status is the JSON body of /v1/status: one daemon's view of the fleet.
type Status struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    ident.Revision    `json:"revision"`
	Records     map[string]int    `json:"records"`
	Skipped     int               `json:"skipped_records"`
	Members     []MemberStatus    `json:"members"`
	RateSlots   int               `json:"rate_slots_held"`
	// RateSlotsKnown is the number of slots whose holder this daemon knows.
	RateSlotsKnown int `json:"rate_slots_known"`
	TicketsOpen    int `json:"tickets_open"`
	// EvacuatedDataCentres is empty if none is evacuated.
	EvacuatedDataCentres []ident.DataCentre `json:"evacuated_data_centres,omitempty"`
	Bodies               BodyStatus         `json:"bodies"`
}

// BodyStatus shows the bytes that a daemon holds for bodies, and the limit of those of
// requests. Large is the part of Requests in large bodies. Reading is the number of
// request bodies that are being read. Answers are read from targets; Writing ones wait for
// their callers. Heads are the buffers of callers' connections.
type BodyStatus struct {
	Requests int64 `json:"requests"`
	Large    int64 `json:"large"`
	Limit    int64 `json:"limit"`
	Answers  int64 `json:"answers"`
	Writing  int64 `json:"writing"`
	Heads    int64 `json:"heads"`
	Reading  int   `json:"reading"`
}

func (d *Daemon) bodyStatus() BodyStatus {
	u := d.memory.Usage()
	limit, _ := d.cfg.BodyMemory()
	return BodyStatus{
		Requests: u.Requests, Large: u.Large, Limit: limit, Answers: u.Answers, Writing: u.Writing, Reading: u.Reading,
		Heads: d.callerBuffers.conns.Buffers(),
	}
}

// MemberStatus is a member of the fleet in a daemon's view. PathBad is set if the
// daemon cannot reach the member.
type MemberStatus struct {
	Instance   ident.Instance   `json:"instance"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region"`
	Status     string           `json:"status"`
	PathBad    bool             `json:"path_bad"`
	Targets    []TargetStatus   `json:"targets"`
}

// TargetStatus is a target of a member in a daemon's view.
type TargetStatus struct {
	Target  ident.Target      `json:"target"`
	Service ident.Service     `json:"service"`
	State   ident.TargetState `json:"state"`
	Slots   int               `json:"slots"`
}

// profilePathPrefix is the path prefix of the Go runtime profiles.
const profilePathPrefix = "/debug/pprof/"

// handleOperator serves the operator address: health, metrics, status, profiles
// and target announcements.
func (d *Daemon) handleOperator(c *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(c.Path()), profilePathPrefix) {
		pprofhandler.PprofHandler(c)
		return
	}
	switch string(c.Path()) {
	case "/livez":
		c.SetBodyString("ok\n")
	case "/readyz":
		d.serveReadyz(c)
	case "/metrics":
		c.SetContentType("text/plain; charset=utf-8")
		d.meter.Write(c)
	case "/v1/status":
		writeJSON(c, d.status())
	case "/v1/targets":
		d.serveTargets(c)
	default:
		c.Error("unknown path: use /livez, /readyz, /metrics, /v1/status or /v1/targets", fasthttp.StatusNotFound)
	}
}

// serveReadyz replies 200 if the daemon has a configuration that is recent enough
// to accept keys, otherwise 503 with the reason.
func (d *Daemon) serveReadyz(c *fasthttp.RequestCtx) {
	if d.table.Revision() == 0 {
		c.Error("no configuration yet: check the store or a peer", fasthttp.StatusServiceUnavailable)
		return
	}
	if r := d.fleet.CheckKeysCurrent(d.clk.Now()); r != nil {
		c.Error(r.Message, fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ok\n")
}

// serveTargets registers a local target (PUT) or drains a registered one (DELETE).
func (d *Daemon) serveTargets(c *fasthttp.RequestCtx) {
	var body struct {
		Target  ident.Target  `json:"target"`
		Service ident.Service `json:"service"`
		Address string        `json:"address"`
		Slots   int           `json:"slots"`
	}
	if err := json.Unmarshal(c.PostBody(), &body); err != nil || body.Target == "" {
		c.Error("send JSON with target, service, address and slots", fasthttp.StatusBadRequest)
		return
	}
	switch string(c.Method()) {
	case fasthttp.MethodPut:
		spec := guard.TargetSpec{ID: body.Target, Service: body.Service, Address: body.Address, Slots: body.Slots}
		if err := spec.Check(); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if d.guard.Announce(spec) {
			d.log.Info("target announced itself", "target", body.Target, "service", body.Service)
			d.fleet.setTargets(d.guard.Targets())
		}
	case fasthttp.MethodDelete:
		if !d.guard.DrainTarget(body.Target) {
			c.Error("target is not known here: announce it with PUT first", fasthttp.StatusNotFound)
			return
		}
		d.fleet.setTargets(d.guard.Targets())
	default:
		c.Error("use PUT to announce and DELETE to leave", fasthttp.StatusMethodNotAllowed)
	}
}

func (d *Daemon) status() Status {
	open, _ := d.guard.TicketStats()
	result := Status{
		Instance: d.instance, Incarnation: d.incarnation, Revision: d.table.Revision(),
		Records: d.table.Counts(), Skipped: d.table.Skipped(),
		RateSlots: d.rateSlots.heldCount(), RateSlotsKnown: d.members.knownSlots(), TicketsOpen: open, EvacuatedDataCentres: d.evacuations.evacuated(), Bodies: d.bodyStatus(),
	}
	now := d.clk.Now()
	for _, m := range d.fleet.allMembers() {
		memberStatus := MemberStatus{
			Instance: m.Instance, DataCentre: m.DataCentre, Region: m.Region,
			Status: m.Status.String(), PathBad: d.picker.IsPathUnreachable(now, m.Instance),
		}
		for _, t := range m.Targets {
			memberStatus.Targets = append(memberStatus.Targets, TargetStatus{Target: t.ID, Service: t.Service, State: t.State, Slots: t.Slots})
		}
		result.Members = append(result.Members, memberStatus)
	}
	return result
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
