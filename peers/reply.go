package peers

import (
	"runtime"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	protobuf "google.golang.org/protobuf/proto"

	"chestnutlatch/wire"
)

// ReplyMemory is the memory of a server for the replies that it sends.
type ReplyMemory interface {
	// HoldReply takes the memory of a reply until release is called. If there is none, it
	// returns another reply to send, and no release. release is nil for small replies.
	HoldReply(reply *wire.ForwardReply) (send *wire.ForwardReply, release func())
}

// HoldReplies returns the option for an inner server that takes the memory of replies from
// m until they are written to the connection. The library queues them in full before.
func HoldReplies(m ReplyMemory) grpc.ServerOption {
	return grpc.ForceServerCodecV2(replyCodec{encoding.GetCodecV2(proto.Name), m})
}

// replyCodec is the codec of a server that holds the memory of its replies.
type replyCodec struct {
	encoding.CodecV2

	memory ReplyMemory
}

// Marshal implements encoding.CodecV2.
func (c replyCodec) Marshal(v any) (mem.BufferSlice, error) {
	reply, ok := v.(*wire.ForwardReply)
	if !ok {
		return c.CodecV2.Marshal(v)
	}
	reply, release := c.memory.HoldReply(reply)
	if release == nil {
		return c.CodecV2.Marshal(reply)
	}
	data, err := protobuf.Marshal(reply)
	if err != nil {
		release()
		return nil, err
	}
	h := &heldReply{data: data, release: sync.OnceFunc(release)}
	// The library does not free all buffers of a connection that ends.
	runtime.AddCleanup(h, func(release func()) { release() }, h.release)
	return mem.BufferSlice{mem.NewBuffer(&h.data, h)}, nil
}

// heldReply is a reply whose memory is held, and the pool of its buffer.
type heldReply struct {
	data    []byte
	release func()
}

// Get implements mem.BufferPool. It is not called.
func (*heldReply) Get(n int) *[]byte {
	b := make([]byte, n)
	return &b
}

// Put implements mem.BufferPool. It is called when the buffer has been written.
func (h *heldReply) Put(*[]byte) { h.release() }
