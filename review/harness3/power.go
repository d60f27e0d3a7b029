package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// keepAliveTime is how long after the last traffic the peer of a lost connection probes it.
const keepAliveTime = 2 * time.Second

// machineConn is a connection of an executor's machine. While the machine has no power, nothing is
// read from it and nothing answered.
type machineConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	dark bool
	// received is true once bytes have arrived while the machine had no power, lastTraffic the
	// time of the last bytes before.
	received    bool
	lastTraffic time.Time
}

func (c *machineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	dark := c.dark
	c.received = c.received || dark && n > 0
	c.lastTraffic = time.Now()
	c.mu.Unlock()
	if dark {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *machineConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	dark := c.dark
	c.mu.Unlock()
	if dark {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *machineConn) Close() error {
	c.mu.Lock()
	dark := c.dark
	c.mu.Unlock()
	if dark {
		// The machine has no power: its peer learns nothing.
		return nil
	}
	return c.reset()
}

func (c *machineConn) reset() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// powerReturned resets the connections of before as a machine does that does not know them: when its
// peer sends on them, or probes them.
func (c *machineConn) powerReturned() {
	c.mu.Lock()
	wait := time.Until(c.lastTraffic.Add(keepAliveTime))
	if c.received {
		wait = 0
	}
	c.mu.Unlock()
	time.AfterFunc(wait, func() { _ = c.reset() })
}

// machineListener hands out the connections of a machine.
type machineListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*machineConn
}

func (l *machineListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &machineConn{Conn: accepted, closed: make(chan struct{}), lastTraffic: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// darkAddress takes an address so that packets for new connections are dropped, as by a machine
// without power: a socket whose queue of new connections is full.
type darkAddress struct {
	socket int
	filler []net.Conn
}

func goDark(address string) (*darkAddress, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	d := &darkAddress{socket: socket}
	sockaddr := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(sockaddr.Addr[:], tcp.IP.To4())
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(socket, sockaddr); err != nil {
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	if err := syscall.Listen(socket, 0); err != nil {
		return nil, err
	}
	for range 2 {
		if filler, err := net.DialTimeout("tcp", address, 20*time.Millisecond); err == nil {
			d.filler = append(d.filler, filler)
		}
	}
	return d, nil
}

func (d *darkAddress) close() {
	_ = syscall.Close(d.socket)
	for _, f := range d.filler {
		_ = f.Close()
	}
}

// losePower ends the life of an executor whose machine loses power: open connections go silent, and
// new ones are not answered.
func (e *executor) losePower() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	e.life++
	for _, r := range e.runs {
		e.cluster.runEnded(e, r, "crashed")
	}
	e.runs = map[runKey]*run{}
	l := e.listener
	l.mu.Lock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.dark = true
		c.mu.Unlock()
	}
	l.mu.Unlock()
	_ = l.Listener.Close()
	dark, err := goDark(e.address)
	if err != nil {
		return err
	}
	e.dark, e.before = dark, l
	e.cluster.record("executor %s: its machine loses power", e.id)
	return nil
}

// powerBack starts a new life of the executor at the address of the earlier one.
func (e *executor) powerBack() error {
	e.dark.close()
	if err := e.boot(); err != nil {
		return err
	}
	for _, c := range e.before.conns {
		c.powerReturned()
	}
	return nil
}
