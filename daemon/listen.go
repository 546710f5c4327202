package daemon

import (
	"net"

	"github.com/go-faster/errors"
)

// serverCount is the number of servers that may fail.
const serverCount = 5

type listeners struct {
	ready    net.Listener
	announce net.Listener

	callers  net.Listener
	inner    net.Listener
	operator net.Listener
	members  net.PacketConn
}

func (d *Daemon) listen() (*listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", d.cfg.CallerAddress); err != nil {
		return nil, errors.Wrap(err, "caller_address: free the port or choose another")
	}
	if l.inner, err = net.Listen("tcp", d.cfg.InnerAddress); err != nil {
		return nil, errors.Wrap(err, "inner_address: free the port or choose another")
	}
	if l.operator, err = net.Listen("tcp", d.cfg.OperatorAddress); err != nil {
		return nil, errors.Wrap(err, "operator_address: free the port or choose another")
	}
	if l.members, err = net.ListenPacket("udp", d.cfg.MemberAddress); err != nil {
		return nil, errors.Wrap(err, "member_address: free the port or choose another")
	}
	if d.platform == nil {
		return &l, nil
	}
	if l.ready, err = net.Listen("tcp", d.cfg.ReadyAddress); err != nil {
		return nil, errors.Wrap(err, "ready_address: free the port or choose another")
	}
	if l.announce, err = net.Listen("tcp", d.cfg.AnnounceAddress); err != nil {
		return nil, errors.Wrap(err, "announce_address: free the port or choose another")
	}
	return &l, nil
}
