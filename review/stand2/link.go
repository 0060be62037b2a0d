//go:build review2

package main

import (
	"bytes"
	"net"
	"sync"
)

// link is a proxy on the way of one entry to the service for machines. The network passes
// what the entry sends, unless the machine of the entry stands still.
type link struct {
	entry  string
	target string
	// onOrder is called with the first bytes of an order that the entry sends, before they
	// are passed on. It returns once they may be.
	onOrder func(entry string)
	mu      sync.Mutex
}

// newLink starts a proxy and returns it and its address.
func newLink(entry, target string) (*link, string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	k := &link{entry: entry, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k, l.Addr().String()
}

// setOnOrder sets what is done with orders.
func (k *link) setOnOrder(f func(entry string)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onOrder = f
}

// pass connects the entry's connection with the service.
func (k *link) pass(from net.Conn) {
	to, err := net.Dial("tcp4", k.target)
	if err != nil {
		_ = from.Close()
		return
	}
	go func() {
		copyBytes(from, to, nil)
		_ = from.Close()
	}()
	copyBytes(to, from, func(data []byte) {
		k.mu.Lock()
		f := k.onOrder
		k.mu.Unlock()
		if f != nil && bytes.HasPrefix(data, []byte("POST ")) {
			f(k.entry)
		}
	})
	_ = to.Close()
}

// copyBytes passes bytes on until one of the connections ends.
func copyBytes(to, from net.Conn, before func(data []byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if before != nil {
				before(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
