package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/traffic"
)

// peerConn sends messages to one peer: over the stream that the peer has opened, or over a connection that is opened for the first
// message in the queue.
type peerConn struct {
	link    *Link
	node    string
	address string
	queue   chan outgoing
	ctx     context.Context
	stop    context.CancelFunc
}

func newPeerConn(l *Link, node, address string) *peerConn {
	n := &peerConn{link: l, node: node, address: address, queue: make(chan outgoing, peerQueueLength)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	go n.run()
	return n
}

// removeIfIdle removes the connection from the link unless a message is queued, and reports whether it did.
func (n *peerConn) removeIfIdle() bool {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	if len(n.queue) > 0 {
		return false
	}
	delete(n.link.conns, n.address)
	return true
}

// run sends queued messages until none is queued for connIdleTimeout. After a failure, the next message opens a new connection.
func (n *peerConn) run() {
	var s sendStream
	defer func() { s.close() }()
	idle := time.NewTimer(connIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-idle.C:
			if n.removeIfIdle() {
				n.stop()
				return
			}
		case m := <-n.queue:
			idle.Reset(connIdleTimeout)
			s = n.sendOver(s, m)
		}
	}
}

// sendStream is the stream on which a peerConn sends. own is the connection if the peerConn has opened it.
type sendStream struct {
	net.Conn
	own func()
}

func (s sendStream) close() {
	if s.own != nil {
		s.own()
	}
}

// sendOver sends a message over a stream, and opens one if it is nil or was the peer's and has ended. It returns the stream for the
// next message. A message that fails is not sent again, since it may have arrived.
func (n *peerConn) sendOver(s sendStream, m outgoing) sendStream {
	if s.own == nil {
		s.Conn = n.link.replyStream(n.node)
	}
	if s.Conn == nil {
		var err error
		if s, err = n.dial(); err != nil {
			n.link.messagesDropped.Add(1)
			n.link.dialFailed(n.address, err)
			return sendStream{}
		}
	}
	if err := n.write(s, m); err != nil {
		n.link.removeReplyStream(n.node, s.Conn)
		s.close()
		n.link.messagesDropped.Add(1)
		return sendStream{}
	}
	return s
}

func (n *peerConn) write(s sendStream, m outgoing) error {
	if m.isStale() {
		n.link.messagesDropped.Add(1)
		return nil
	}
	p, err := m.encode()
	if err != nil {
		return err
	}
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	k, err := protodelim.MarshalTo(s, p)
	n.link.bytesSent.Add(int64(k))
	n.link.countBytes(m.purpose, m.zone, k)
	return err
}

// dial opens a connection, and receives the messages that the peer sends over it.
func (n *peerConn) dial() (sendStream, error) {
	ctx, stop := context.WithTimeout(n.ctx, dialTimeout)
	defer stop()
	stream, closeAll, err := n.link.dial(ctx, n.address, metrics.Peers)
	if err != nil {
		return sendStream{}, err
	}
	go func() {
		if err := traffic.Contain(func() {
			n.link.readMessages(bufio.NewReader(stream), func(p *Message) bool { return p.Kind != kindJobs })
		}); err != nil {
			n.link.panicked(err)
		}
	}()
	return sendStream{Conn: stream, own: closeAll}, nil
}

// addReplyStream records the stream on which a node sends messages.
func (l *Link) addReplyStream(node string, stream net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies[node] = stream
}

// removeReplyStream removes a stream that has ended, unless the node has opened another one.
func (l *Link) removeReplyStream(node string, stream net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replies[node] == stream {
		delete(l.replies, node)
	}
}

// replyStream returns the stream on which a node sends messages, or nil.
func (l *Link) replyStream(node string) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replies[node]
}
