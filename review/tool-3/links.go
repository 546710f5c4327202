package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
)

// network is the network between the machines, from which single machines can be cut off.
type network struct {
	r *rig

	mu sync.Mutex
	// cut holds the addresses of the machines that are cut off.
	cut  map[string]bool
	heal *sync.Cond
}

// newNetwork puts proxies before the inner port and the datagram port of each machine. The
// addresses that the daemons publish are translated to those of the proxies, in what a
// machine reads from the store and in the datagrams that it gets; see translate. Each
// machine has proxies of its own to all others, so that both ends of a connection are known.
func (r *rig) newNetwork() *network {
	w := &network{r: r, cut: map[string]bool{}}
	w.heal = sync.NewCond(&w.mu)
	for c, caller := range r.machines {
		var names []string
		for x, m := range r.machines {
			at := fmt.Sprintf("%s.%d", r.network, 150+10*c+x)
			w.listen(at+":7640", m.ip, caller.ip)
			names = append(names, m.inner(), at+":7640", m.ip+":7655", fmt.Sprintf("%s.%d:7655", r.network, 210+x))
		}
		replacer := strings.NewReplacer(names...)
		w.datagrams(fmt.Sprintf("%s.%d:7655", r.network, 210+c), caller.ip, replacer)
		caller.storeAt = fmt.Sprintf("%s.%d:8102", r.network, 20+c)
		r.translateStore(caller.storeAt, replacer)
	}
	return w
}

// listen passes on connections from one machine to the inner port of another one.
func (w *network) listen(at, ip, caller string) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		w.r.fail("%v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.join(c, ip, caller)
		}
	}()
}

func (w *network) join(c net.Conn, ip, caller string) {
	w.awaitHeal(ip, caller)
	d, err := net.Dial("tcp", ip+":7640")
	if err != nil {
		_ = c.Close()
		return
	}
	go w.pass(c, d, ip, caller)
	go w.pass(d, c, ip, caller)
}

// pass copies one direction of a connection between two machines. While one of them is cut
// off, nothing passes and neither end learns of it; afterwards what was held up arrives.
func (w *network) pass(from, to net.Conn, a, b string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w.awaitHeal(a, b)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			w.awaitHeal(a, b)
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (w *network) awaitHeal(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.cut[a] || w.cut[b] {
		w.heal.Wait()
	}
}

// setCut cuts a machine off, or ends that.
func (w *network) setCut(ip string, isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[ip] = isCut
	w.heal.Broadcast()
}

// datagrams passes on the datagrams to a machine. Those to a machine that is cut off are lost.
func (w *network) datagrams(at, ip string, replacer *strings.Replacer) {
	l, err := net.ListenPacket("udp", at)
	if err != nil {
		w.r.fail("%v", err)
	}
	to, err := net.ResolveUDPAddr("udp", ip+":7655")
	if err != nil {
		w.r.fail("%v", err)
	}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := l.ReadFrom(buf)
			if err != nil {
				return
			}
			w.mu.Lock()
			isCut := w.cut[ip]
			w.mu.Unlock()
			if !isCut {
				// Addresses and their translations have the same length.
				_, _ = l.WriteTo([]byte(replacer.Replace(string(buf[:n]))), to)
			}
		}
	}()
}
