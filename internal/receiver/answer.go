package receiver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/tmaxmax/go-sse"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

// doneMarker is the data of the last event of a complete stream, as in the OpenAI API.
const doneMarker = "[DONE]"

// chatAnswer writes a chat completion as server-sent events, or as one JSON body if the caller requested no stream.
type chatAnswer struct {
	answerWriter
	model  string
	stream bool
	text   strings.Builder
}

func newChatAnswer(w http.ResponseWriter, request *holder.Request, stream bool) *chatAnswer {
	return &chatAnswer{
		answerWriter: answerWriter{w: w, requestID: request.ID}, model: request.Work.Name, stream: stream,
	}
}

// chunk is one event of a stream. Index is the index of its token; in the last chunk it is the number of tokens.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Index   int           `json:"index"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

// completion is the answer to a caller that requested no stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Token writes one token, or stores it for Finish if the caller requested no stream.
func (a *chatAnswer) Token(frame kernel.Frame) error {
	if !a.stream {
		a.text.WriteString(frame.Token)
		return nil
	}
	return a.event("", chunk{
		ID: a.requestID, Object: "chat.completion.chunk", Model: a.model, Index: frame.Index,
		Choices: []chunkChoice{{Delta: delta{Content: frame.Token}}},
	})
}

// Finish completes the answer: it writes the last events of the stream, or the JSON body.
func (a *chatAnswer) Finish(total int) error {
	reason := "stop"
	if !a.stream {
		return a.complete(total, reason)
	}
	err := a.event("", chunk{
		ID: a.requestID, Object: "chat.completion.chunk", Model: a.model, Index: total,
		Choices: []chunkChoice{{FinishReason: &reason}},
	})
	if err != nil {
		return err
	}
	return a.send("", doneMarker)
}

// complete writes the JSON body of a caller that requested no stream.
func (a *chatAnswer) complete(total int, reason string) error {
	body, err := json.Marshal(completion{
		ID: a.requestID, Object: "chat.completion", Model: a.model, Usage: usage{CompletionTokens: total},
		Choices: []completionChoice{{
			Message: chatMessage{Role: "assistant", Content: a.text.String()}, FinishReason: reason,
		}},
	})
	if err != nil {
		return &WriteError{Cause: err}
	}
	body = append(body, '\n')
	a.w.Header().Set(headerContentType, "application/json")
	a.setLength(body)
	return a.write(body)
}

// refuse writes a refusal: as an HTTP status and body if nothing was written yet, as the last event of a stream that has
// begun, and otherwise by aborting the connection.
func (a *chatAnswer) refuse(refusal *holder.Refusal) {
	if !a.started || !a.stream || a.failed {
		a.answerWriter.refuse(refusal)
		return
	}
	if err := a.event("error", newRefusalBody(a.requestID, refusal)); err != nil {
		a.abort()
	}
}

func (a *chatAnswer) event(kind string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &WriteError{Cause: err}
	}
	return a.send(kind, string(data))
}

func (a *chatAnswer) send(kind, data string) error {
	if !a.started {
		a.w.Header().Set(headerContentType, "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	message := sse.Message{}
	if kind != "" {
		message.Type = sse.Type(kind)
	}
	message.AppendData(data)
	var buffer bytes.Buffer
	if _, err := message.WriteTo(&buffer); err != nil {
		return &WriteError{Cause: err}
	}
	if err := a.write(buffer.Bytes()); err != nil {
		return err
	}
	return a.flush()
}
