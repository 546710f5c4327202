package peers

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"chestnutlatch/memory"
)

const (
	// bodyHeader is the metadata key of the size of a large body, in bytes.
	bodyHeader = "body-bytes"
	// noBodyMemory is the message of the refusal for want of memory. It distinguishes it
	// from the library's own refusals with codes.ResourceExhausted, such as that of a
	// reply that is too large, after which the request may have run.
	noBodyMemory = "no memory for the body of this call"
)

// AnnounceBody announces the body of a call that is made with the returned context, if it
// is over memory.SmallBytes. The receiver may refuse the call before it reads the body.
func AnnounceBody(ctx context.Context, size int) context.Context {
	if size <= memory.SmallBytes {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, bodyHeader, strconv.Itoa(size))
}

// IsBodyAnnounced reports whether the sender of a received call has announced its body.
func IsBodyAnnounced(ctx context.Context) bool {
	return len(metadata.ValueFromIncomingContext(ctx, bodyHeader)) > 0
}

// IsBodyRefused reports whether a call failed because its receiver had no memory for the
// announced body. The receiver has not read the call.
func IsBodyRefused(err error) bool {
	// status.Convert would add the text of errors that wrap the status to its message.
	var withStatus interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &withStatus) {
		return false
	}
	s := withStatus.GRPCStatus()
	return s.Code() == codes.ResourceExhausted && s.Message() == noBodyMemory
}

// BodyMemory is the memory of a receiver for the bodies of calls.
type BodyMemory interface {
	// TakeBody takes n bytes, which are returned by release. ok is false if there is no
	// room.
	TakeBody(n int64) (release func(), ok bool)
}

// CheckBodies returns the option for an inner server that takes announced bodies from m
// for the time of their calls. Its owner counts the others, which older builds send.
func CheckBodies(m BodyMemory, secret string) grpc.ServerOption {
	return grpc.InTapHandle(func(ctx context.Context, info *tap.Info) (context.Context, error) {
		announced := info.Header.Get(bodyHeader)
		if len(announced) == 0 {
			return ctx, nil
		}
		if !hasSecret(info.Header, secret) {
			return nil, errWrongSecret
		}
		size, err := strconv.ParseInt(announced[0], 10, 64)
		if err != nil || size < 0 || size > maxMessageBytes {
			return nil, status.Error(codes.InvalidArgument, "size of the body is invalid")
		}
		release, ok := m.TakeBody(size)
		if !ok {
			return nil, status.Error(codes.ResourceExhausted, noBodyMemory)
		}
		context.AfterFunc(ctx, release)
		return ctx, nil
	})
}
