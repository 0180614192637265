package connector

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// hopByHopHeaders lists the headers that concern a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the hop-by-hop headers, including those that the Connection header lists.
func StripHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// writeHead writes the request line and the header. request.Header must not contain Host, Content-Length or hop-by-hop
// headers.
func writeHead(writer *bufio.Writer, request Request) error {
	for _, text := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n"} {
		if _, err := writer.WriteString(text); err != nil {
			return err
		}
	}
	if request.HasBody {
		if _, err := writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if err := request.Header.Write(writer); err != nil {
		return err
	}
	_, err := io.WriteString(writer, "\r\n")
	return err
}
