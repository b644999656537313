package mux

import (
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

// read handles messages until reading fails or the server violates the protocol. It then closes the connection.
func (c *Conn) read() {
	err := stream.ReadMessages(msgpackrpc.NewReader(c.nc), c.handle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
}

func (c *Conn) handle(message msgpackrpc.Message) error {
	switch message.Kind {
	case msgpackrpc.Request:
		return &msgpackrpc.ProtocolError{Problem: "unexpected request"}
	case msgpackrpc.Notification: // unknown methods are ignored: a later version may define them
		if message.Method == msgpackrpc.MethodDrain {
			c.Retire()
			if c.onDrain != nil {
				c.onDrain()
			}
		}
		return nil
	}
	return c.handleReply(message)
}

func (c *Conn) handleReply(message msgpackrpc.Message) error {
	reply, err := msgpackrpc.ParseReply(message)
	if err != nil {
		err = &MalformedReplyError{err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call, open := c.calls[message.ID]
	if _, abandoned := c.abandoned[message.ID]; abandoned && !open {
		delete(c.abandoned, message.ID)
		return nil
	}
	if !open || call.state == queued {
		return &msgpackrpc.ProtocolError{Problem: "response to an unknown msgid"}
	}
	c.finish(call, outcome{reply, err})
	return nil
}
