package receiver

import (
	"encoding/json"
	"net/http"
	"strings"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
)

// defaultMaxTokens bounds an answer if neither the caller nor the catalogue does.
const defaultMaxTokens = 1024

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat answers a chat completion.
func (r *Receiver) chat(w http.ResponseWriter, request *http.Request) {
	var body chatRequest
	held, refusal := r.intake(w, request, func(catalogue *cataloguer.Catalogue, raw []byte) (*cataloguer.Work, *holder.Refusal) {
		return findModel(catalogue, raw, &body)
	})
	if refusal != nil {
		writeRefusal(w, held.ID, refusal)
		return
	}
	held.Model = held.Work.Model
	held.Prompt = prompt(body.Messages)
	held.PromptTokens = estimateTokens(held.Prompt)
	held.MaxTokens = maxTokens(held.Work, body.MaxTokens)
	held.PrefixHashes = prefixHashes(held.Workspace, held.Prompt)
	answer := newChatAnswer(w, held, body.Stream)
	held.Answer = answer
	if refusal := r.server.Serve(request.Context(), held); refusal != nil {
		answer.refuse(refusal)
	}
}

// findModel decodes the body and finds the kind of work by its model.
func findModel(catalogue *cataloguer.Catalogue, raw []byte, body *chatRequest) (*cataloguer.Work, *holder.Refusal) {
	if err := json.Unmarshal(raw, body); err != nil {
		return nil, invalid("the body is not a valid chat completion request: " + err.Error())
	}
	if len(body.Messages) == 0 {
		return nil, invalid("messages: at least one message is needed")
	}
	if body.MaxTokens < 0 {
		return nil, invalid("max_tokens: must not be negative")
	}
	work, ok := catalogue.WorkByModel(body.Model)
	if !ok {
		return nil, unknownEntry()
	}
	return work, nil
}

func prompt(messages []chatMessage) string {
	if len(messages) == 1 {
		return messages[0].Content
	}
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// maxTokens is the caller's bound, or the entry's expected length, below the entry's limit.
func maxTokens(work *cataloguer.Work, asked int) int {
	bound := asked
	if bound == 0 {
		bound = work.ExpectedOutput
	}
	if bound == 0 {
		bound = defaultMaxTokens
	}
	if limit := work.Limits.MaxOutputTokens; limit > 0 {
		bound = min(bound, limit)
	}
	return bound
}
