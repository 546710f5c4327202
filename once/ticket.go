// Package once makes one-time actions run at most once. On each arrival of an
// action, the guard gets a decision from it: run, wait, replay the answer or
// refuse.
//
// A ticket names the only daemon, in one incarnation, that may run its action:
// its home daemon. The home daemon keeps the used tickets in memory, so neither
// the store nor a consensus between daemons is needed. After the home daemon has
// ended, the outcome of its actions is unknown, but they never run a second time.
//
// Actions that callers identify by an attempt ID instead of a ticket have a
// second table.
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

// A ticket in text form has six fields, separated by ticketSeparator: version,
// home daemon, incarnation, serial, issue time and MAC. Numbers are in base 36.
const (
	ticketVersion   = "t1"
	ticketFields    = 6
	ticketSeparator = "~"
	// macBytes is the length to which the HMAC-SHA256 is cut before its base64
	// encoding.
	macBytes       = 16
	maxTicketBytes = 256
)

// errMalformedTicket reports text that is not a ticket. Its message reaches
// callers.
var errMalformedTicket = errors.New("ticket is not one of this system: ask for one and send it unchanged")

// Ticket permits one run of one action at its home daemon.
type Ticket struct {
	// Home is the instance of the home daemon.
	Home ident.Instance
	// Incarnation is the incarnation of the home daemon that issued the ticket.
	Incarnation ident.Incarnation
	// Serial is the ticket's number at its home daemon, counted from 1.
	Serial uint64
	// IssuedAt is the time of issue on the home daemon's monotonic clock.
	IssuedAt clock.Millis
	// mac authenticates the other fields, the team and the service.
	mac string
}

// Parse reads a ticket from its text form and returns an error if the form is
// wrong. It does not check the MAC; only the home daemon can.
func Parse(s string) (Ticket, error) {
	if len(s) > maxTicketBytes {
		return Ticket{}, errMalformedTicket
	}
	fields := strings.Split(s, ticketSeparator)
	if len(fields) != ticketFields || fields[0] != ticketVersion || fields[1] == "" {
		return Ticket{}, errMalformedTicket
	}
	incarnation, err1 := strconv.ParseUint(fields[2], 36, 64)
	serial, err2 := strconv.ParseUint(fields[3], 36, 64)
	issuedAt, err3 := strconv.ParseInt(fields[4], 36, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Ticket{}, errMalformedTicket
	}
	return Ticket{
		Home:        ident.Instance(fields[1]),
		Incarnation: ident.Incarnation(incarnation),
		Serial:      serial,
		IssuedAt:    clock.Millis(issuedAt),
		mac:         fields[5],
	}, nil
}

// String returns the text form of the ticket, which callers send and Parse
// reads.
func (t Ticket) String() string {
	return t.signedText() + ticketSeparator + t.mac
}

// signedText returns the ticket's fields without the MAC.
func (t Ticket) signedText() string {
	return strings.Join([]string{
		ticketVersion,
		string(t.Home),
		strconv.FormatUint(uint64(t.Incarnation), 36),
		strconv.FormatUint(t.Serial, 36),
		strconv.FormatInt(int64(t.IssuedAt), 36),
	}, ticketSeparator)
}

// ticketMAC returns the MAC that binds a ticket to its team and service.
func ticketMAC(secret []byte, t Ticket, team ident.Team, service ident.Service) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(t.signedText() + "\x00" + string(team) + "\x00" + string(service)))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// isAuthentic reports whether the ticket was issued with the secret to the team
// for the service, and is unchanged.
func (t Ticket) isAuthentic(secret []byte, team ident.Team, service ident.Service) bool {
	return hmac.Equal([]byte(t.mac), []byte(ticketMAC(secret, t, team, service)))
}
