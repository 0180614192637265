package connector

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the headers that concern one connection only, and those that Connection names.
func StripHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// writeHead writes the request line and the header. The header holds no Host, no Content-Length and nothing that
// concerns one connection.
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
