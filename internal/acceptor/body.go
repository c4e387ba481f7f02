package acceptor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
)

// errNoRoom is returned if there was no room for a body in time.
var errNoRoom = errors.New("acceptor: no room for the body")

// Body is the whole body of a request that has been read, or the error that ended it without one. An
// http.MaxBytesError says that it is larger than the limit.
type Body struct {
	text []byte
	err  error
	read int
}

// Read returns the body and then its error, or io.EOF.
func (b *Body) Read(p []byte) (int, error) {
	n := copy(p, b.text[b.read:])
	b.read += n
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	return 0, io.EOF
}

// Close does nothing.
func (b *Body) Close() error { return nil }

// ReadBody returns the whole body of a request, which is the caller's, or the error of Body. A request that
// no Server has read may have up to limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if b, ok := r.Body.(*Body); ok {
		return b.text, b.err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// readStep is the size of the parts in which a body is read.
const readStep = 4 << 10

func nothing() {}

// readBody reads the body of a request. What it reserves is held until
// release is called. The end of a declared length is not read for.
func (s *Server) readBody(c *conn, r *http.Request) (body *Body, release func(), err error) {
	limit := int64(0)
	if s.address.MaxBody != nil {
		limit = s.address.MaxBody(r)
	}
	if r.ContentLength > limit {
		err := &http.MaxBytesError{Limit: limit}
		return &Body{err: err}, nothing, err
	}
	size, release := r.ContentLength, nothing
	if size < 0 {
		size = limit
	}
	c.setPhase(readingBody)
	c.expectBody()
	defer c.endBody()
	text := make([]byte, 0, min(size, SmallBodyBytes))
	for int64(len(text)) != r.ContentLength {
		if len(text) == cap(text) && cap(text) == SmallBodyBytes {
			if release, err = s.acceptor.reserve(r.Context(), c, size); err != nil {
				return &Body{err: err}, nothing, err
			}
		}
		if len(text) == cap(text) {
			text = grow(text, size, r.ContentLength >= 0)
		}
		var n int
		if len(text) > 0 {
			c.expectBody()
		}
		n, err = r.Body.Read(text[len(text):min(cap(text), len(text)+readStep)])
		text = text[:len(text)+n]
		if len(text) > SmallBodyBytes {
			// Others are served between the parts of a large body.
			runtime.Gosched()
		}
		if int64(len(text)) > limit {
			err = &http.MaxBytesError{Limit: limit}
		}
		if err != nil {
			break
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.acceptor.closings.add(s.address.Name, BodyTimedOut)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		release()
		return &Body{err: err}, nothing, err
	}
	return &Body{text: text}, release, nil
}

// grow returns a full buffer with more room: for the whole of a declared size, or else twice as much, up to
// one byte more than the size, which tells whether the body ends there.
func grow(text []byte, size int64, isDeclared bool) []byte {
	room := size + 1
	if !isDeclared {
		room = min(room, 2*int64(cap(text))+1)
	}
	larger := make([]byte, len(text), room)
	copy(larger, text)
	return larger
}

// reserve waits for room for the whole of a body and returns the function that gives it back.
func (a *Acceptor) reserve(ctx context.Context, c *conn, size int64) (release func(), err error) {
	release = func() {
		a.reserved.Add(-size)
		a.bodies.Release(size)
	}
	if !a.bodies.TryAcquire(size) {
		if a.waiting.Add(1) > maxWaiting {
			a.waiting.Add(-1)
			return nothing, errNoRoom
		}
		defer a.waiting.Add(-1)
		a.startReclaiming()
		c.setPhase(waiting)
		defer c.setPhase(readingBody)
		ctx, cancel := context.WithTimeout(ctx, a.config.Limits.WaitTimeout)
		defer cancel()
		if a.bodies.Acquire(ctx, size) != nil {
			return nothing, errNoRoom
		}
	}
	a.reserved.Add(size)
	return release, nil
}
