// Package once makes one-time actions run at most once. A ticket names the
// daemon, and the life of that daemon, which alone may run the action: its
// home. The home remembers in memory which tickets were used, so that neither
// the store nor an agreement between daemons is needed. When the home is gone
// the outcome is unknown, never a second run.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	ticketVersion  = "t1"
	ticketParts    = 6
	ticketSep      = "~"
	macBytes       = 16
	maxTicketBytes = 256
)

// errTicket reports a ticket that does not parse.
var errTicket = errors.New("ticket is not one of this system: ask for one and send it unchanged")

// Ticket is the readable part of a ticket.
type Ticket struct {
	Home        ident.Instance
	Incarnation ident.Incarnation
	// Serial counts the home's tickets from 1.
	Serial uint64
	// Issued is on the home's monotonic clock.
	Issued clock.Millis
	mac    string
}

// Parse reads a ticket. Only its home can tell whether it is genuine.
func Parse(s string) (Ticket, error) {
	if len(s) > maxTicketBytes {
		return Ticket{}, errTicket
	}
	parts := strings.Split(s, ticketSep)
	if len(parts) != ticketParts || parts[0] != ticketVersion || parts[1] == "" {
		return Ticket{}, errTicket
	}
	inc, err1 := strconv.ParseUint(parts[2], 36, 64)
	serial, err2 := strconv.ParseUint(parts[3], 36, 64)
	issued, err3 := strconv.ParseInt(parts[4], 36, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Ticket{}, errTicket
	}
	return Ticket{
		Home:        ident.Instance(parts[1]),
		Incarnation: ident.Incarnation(inc),
		Serial:      serial,
		Issued:      clock.Millis(issued),
		mac:         parts[5],
	}, nil
}

// String returns the ticket as callers carry it.
func (t Ticket) String() string {
	return t.signedPart() + ticketSep + t.mac
}

func (t Ticket) signedPart() string {
	return strings.Join([]string{
		ticketVersion,
		string(t.Home),
		strconv.FormatUint(uint64(t.Incarnation), 36),
		strconv.FormatUint(t.Serial, 36),
		strconv.FormatInt(int64(t.Issued), 36),
	}, ticketSep)
}

// sign returns the authentication code that binds a ticket to its team and
// service.
func sign(secret []byte, t Ticket, team ident.Team, service ident.Service) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(t.signedPart() + "\x00" + string(team) + "\x00" + string(service)))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

func (t Ticket) genuine(secret []byte, team ident.Team, service ident.Service) bool {
	return hmac.Equal([]byte(t.mac), []byte(sign(secret, t, team, service)))
}
