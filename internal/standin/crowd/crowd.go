// Package crowd holds many connections to a process at once, on which requests
// exceed its limits or stop before their end.
package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// callerTimeout limits the time in which one caller connects and sends.
	callerTimeout = 20 * time.Second
	pieceBytes    = 16 << 10
)

// Request is what each caller of a crowd sends before it waits with its connection
// open. Only a process that refuses it closes the connection.
type Request struct {
	// Head is the request line and the header fields, without the framing of the
	// body and the empty line. A request without one has no body either.
	Head string
	// EmptyLines is the number of bytes of empty lines before the head.
	EmptyLines int
	// HeadBytes is the size of a header field whose line doesn't end.
	HeadBytes int
	// BodyBytes is the size of the body. All but every tenth caller leave out its
	// last byte.
	BodyBytes int
	// ChunkBytes is the size of the chunks of the body. 0 sends it with a length.
	ChunkBytes int
	// FrameBytes is the size of a frame between processes, a JSON-RPC call whose
	// parameter is one text. All but every tenth caller leave out its last byte. Such
	// a request has no head and no body.
	FrameBytes int
	// Piecewise sends the request in pieces of 16 KiB.
	Piecewise bool
	// Text is a body in place of one of BodyBytes, or a frame if there is no head.
	// Count is how often it is repeated between Start and End.
	Start, Text, End string
	Count            int
	// Whole lets all callers send the whole request.
	Whole bool
}

// Crowd is a number of open connections. Create one with Open.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Open connects size callers to the address, each of which sends the request. It
// returns once all have sent it, or can't send more.
func Open(address string, size int, r Request) *Crowd {
	c := &Crowd{}
	whole, short := r.bytes(0), r.bytes(1)
	var sent sync.WaitGroup
	for i := range size {
		data := short
		if r.Whole || i%10 == 9 {
			data = whole
		}
		sent.Go(func() { c.call(address, data, r.Piecewise) })
	}
	sent.Wait()
	return c
}

func (c *Crowd) call(address string, data []byte, piecewise bool) {
	conn, err := net.DialTimeout("tcp", address, callerTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	// A caller that didn't read would have its response reset.
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for len(data) > 0 {
		n := len(data)
		if piecewise {
			n = min(n, pieceBytes)
		}
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
	_ = conn.SetDeadline(time.Time{})
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// bytes returns the request without its last bytes of body.
func (r Request) bytes(missing int) []byte {
	var b bytes.Buffer
	b.WriteString(strings.Repeat("\r\n", r.EmptyLines/2))
	b.WriteString(r.Head)
	switch {
	case r.FrameBytes > 0:
		writeFrame(&b, `{"jsonrpc":"2.0","id":1,"method":"crowd","params":"`+strings.Repeat("a", r.FrameBytes)+`"}`, missing)
	case r.Count > 0 && r.Head == "":
		writeFrame(&b, r.text(), missing)
	case r.HeadBytes > 0:
		b.WriteString("X-Padding: " + strings.Repeat("a", r.HeadBytes))
	case r.ChunkBytes > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		chunk := fmt.Sprintf("%x\r\n%s\r\n", r.ChunkBytes, strings.Repeat("a", r.ChunkBytes))
		for range r.BodyBytes / r.ChunkBytes {
			b.WriteString(chunk)
		}
		b.WriteString("0\r\n\r\n")
		// The chunk that ends the body is left out, with the last byte before it.
		b.Truncate(b.Len() - missing*len("a\r\n0\r\n\r\n"))
	case r.Count > 0:
		body := r.text()
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.WriteString(body[:len(body)-missing])
	case r.BodyBytes > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", r.BodyBytes)
		b.WriteString(strings.Repeat("a", r.BodyBytes-missing))
	}
	return b.Bytes()
}

func (r Request) text() string { return r.Start + strings.Repeat(r.Text, r.Count) + r.End }

func writeFrame(b *bytes.Buffer, call string, missing int) {
	_ = binary.Write(b, binary.BigEndian, uint32(len(call)))
	b.WriteString(call[:len(call)-missing])
}
