//go:build review

package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the path of one machine to the platform, a proxy that can be cut. While it is
// cut nothing passes, and bytes that were sent are held. They are lost if their sender
// resets the connection.
type link struct {
	mu     sync.Mutex
	healed chan struct{} // nil while the path is whole
	// seen is called with what the machine sends, before that is passed on.
	seen func(data []byte)
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// wait returns when the path is whole, and reports whether it was cut.
func (l *link) wait() bool {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	if healed == nil {
		return false
	}
	<-healed
	return true
}

// proxy returns an address that leads to the target over the link.
func (l *link) proxy(target string, s *site) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.listeners = append(s.listeners, listener)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target)
		}
	}()
	return listener.Addr().String()
}

func (l *link) serve(client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	l.wait()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	go func() {
		defer func() { _ = client.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := server.Read(buffer)
			l.wait()
			if n > 0 {
				if _, err := client.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() { _ = server.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		data := bytes.Clone(buffer[:n])
		if n > 0 && l.seen != nil {
			l.seen(data)
		}
		if l.wait() && n > 0 {
			// The sender may have reset the connection in the meantime.
			_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			more, later := client.Read(buffer)
			_ = client.SetReadDeadline(time.Time{})
			if errors.Is(later, syscall.ECONNRESET) {
				return
			}
			data = append(data, buffer[:more]...)
			if errors.Is(later, io.EOF) {
				err = later
			}
		}
		if len(data) > 0 {
			if _, err := server.Write(data); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				time.Sleep(500 * time.Millisecond) // the target answers what it has read
			}
			return
		}
	}
}
