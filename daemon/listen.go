package daemon

import (
	"net"

	"github.com/go-faster/errors"
)

// serverCount is the number of servers, each of which may report one failure.
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
		return nil, errors.Wrap(err, "listen on caller_address: free the port or set another")
	}
	if l.inner, err = net.Listen("tcp", d.cfg.InnerAddress); err != nil {
		return nil, errors.Wrap(err, "listen on inner_address: free the port or set another")
	}
	if l.operator, err = net.Listen("tcp", d.cfg.OperatorAddress); err != nil {
		return nil, errors.Wrap(err, "listen on operator_address: free the port or set another")
	}
	if l.members, err = net.ListenPacket("udp", d.cfg.MemberAddress); err != nil {
		return nil, errors.Wrap(err, "listen on member_address: free the port or set another")
	}
	if d.platform == nil {
		return &l, nil
	}
	if l.ready, err = net.Listen("tcp", d.cfg.ReadyAddress); err != nil {
		return nil, errors.Wrap(err, "listen on ready_address: free the port or set another")
	}
	if l.announce, err = net.Listen("tcp", d.cfg.AnnounceAddress); err != nil {
		return nil, errors.Wrap(err, "listen on announce_address: free the port or set another")
	}
	return &l, nil
}
