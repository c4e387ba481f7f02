package messenger

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxFrameBytes is the largest frame that a receiver accepts.
const maxFrameBytes = 256 << 20

// maxWriteBytes is the largest part of a frame that is written at once. Keep-alive pings of
// the session pass between the parts, so that a large frame on a narrow link does not make
// it look silent.
const maxWriteBytes = 16 << 10

// ErrFrameTooLong reports a frame that is longer than maxFrameBytes.
var ErrFrameTooLong = errors.New("messenger: frame too long")

// errNotEncodable reports a message that can't be encoded, such as one with a string that is not UTF-8.
var errNotEncodable = errors.New("messenger: encoding a frame")

// writeFrame writes a protobuf message with a 4-byte big-endian length in front.
// It returns the buffer, which holds the frame, for reuse.
func writeFrame(w io.Writer, buffer []byte, m proto.Message) ([]byte, error) {
	buffer = append(buffer[:0], 0, 0, 0, 0)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return buffer, fmt.Errorf("%w: %w", errNotEncodable, err)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-4))
	for rest := buffer; len(rest) > 0; {
		n := min(len(rest), maxWriteBytes)
		if _, err := w.Write(rest[:n]); err != nil {
			return buffer, err
		}
		rest = rest[n:]
	}
	return buffer, nil
}

// readFrame reads a frame of writeFrame and returns its size in bytes, with the
// length prefix.
func readFrame(r *bufio.Reader, m proto.Message) (int, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return 0, ErrFrameTooLong
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, fmt.Errorf("messenger: decoding a frame: %w", err)
	}
	return int(size) + len(header), nil
}
