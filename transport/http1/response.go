package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"cobaltward/router"
)

const (
	maxBodyBytes        = 64 << 10 // maximum length of a body that is not streamed
	maxHeadBytes        = 16 << 10 // maximum length of a response head
	maxInterimResponses = 8        // maximum number of 1xx responses before the final response
)

// statusLinePrefix is the beginning of every response.
const statusLinePrefix = "HTTP/1."

// response is a response of a server. It has either a body or a stream.
type response struct {
	head   responseHead
	body   []byte
	stream router.Stream // long body; owns the connection and the bufio.Reader
}

// responseReader reads one response.
type responseReader struct {
	transport *Transport
	in        *bufio.Reader
	limit     *io.LimitedReader // source of in
	conn      *conn
	serverID  string
}

// readResponse reads the response to r from c. The head is limited to maxHeadBytes, the body to maxBodyBytes. If r
// accepts a stream and the status is 200, a longer body or a slow body of unknown length becomes a stream.
//
// A response is malformed if its body does not match its framing. It is also malformed if it is followed by bytes
// that do not begin another response, because those bytes may belong to its body.
func (t *Transport) readResponse(in *bufio.Reader, c *conn, server string, r *router.Request) (response, error) {
	limit := &io.LimitedReader{R: c, N: maxHeadBytes}
	in.Reset(limit)
	rd := responseReader{transport: t, in: in, limit: limit, conn: c, serverID: server}
	resp, err := rd.read(r)
	if err != nil || resp.stream != nil {
		return resp, err
	}
	if n := in.Buffered(); n > 0 {
		resp.head.closeAfter = true
		next, _ := in.Peek(min(n, len(statusLinePrefix)))
		if string(next) != statusLinePrefix[:len(next)] {
			return response{}, errMalformedResponse
		}
	}
	return resp, nil
}

func (rd *responseReader) read(r *router.Request) (response, error) {
	if r.Method != http.MethodHead { // a response to HEAD may have a Content-Length, but has no body
		if head, ok := readSimpleHead(rd.in); ok {
			return rd.readFixedLength(head, r.AcceptsStream)
		}
	}
	head, httpResp, err := readHead(rd.in, rd.limit, r.Method) //nolint:bodyclose // the connection is closed or reused
	if err != nil {
		return response{}, err
	}
	isShort := httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxBodyBytes
	if isShort || !r.AcceptsStream || head.status != http.StatusOK || hasFinalChunk(rd.in) {
		body, err := readShortBody(rd.limit, httpResp)
		return response{head: head, body: body}, err
	}
	body, stream, err := rd.readUnknownLength(httpResp)
	return response{head: head, body: body, stream: stream}, err
}

// readFixedLength reads a body whose length is in head. If the body is too long to buffer, it returns a stream. It
// then returns an error unless acceptsStream is true and the status is 200.
func (rd *responseReader) readFixedLength(head responseHead, acceptsStream bool) (response, error) {
	if head.length > maxBodyBytes {
		if !acceptsStream || head.status != http.StatusOK {
			return response{}, errMalformedResponse
		}
		stream, err := rd.newFixedLengthStream(head)
		if err != nil {
			return response{}, err
		}
		return response{head: head, stream: stream}, nil
	}
	rd.limit.N = maxBodyBytes
	body := make([]byte, head.length)
	if _, err := io.ReadFull(rd.in, body); err != nil {
		if errors.Is(err, io.EOF) { // the connection ended before the first byte of the body
			err = io.ErrUnexpectedEOF
		}
		return response{}, readError(err, rd.limit.N == 0)
	}
	return response{head: head, body: body}, nil
}

// readShortBody reads the body of resp with net/http. It returns an error if the body is longer than maxBodyBytes.
func readShortBody(limit *io.LimitedReader, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBodyBytes {
		return nil, errMalformedResponse
	}
	limit.N = 2 * maxBodyBytes // leaves space for the chunk sizes of the chunked coding
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, readError(err, limit.N == 0)
	}
	if len(body) > maxBodyBytes {
		return nil, errMalformedResponse
	}
	return body, nil
}
