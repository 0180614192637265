package receiver

import (
	"encoding/json"
	"net/http"
	"strings"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
)

// defaultMaxTokens is the token limit of an answer if neither the caller nor the catalogue states one.
const defaultMaxTokens = 1024

// chatRequest is the body of a chat completion request.
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

// chat serves a chat completion request.
func (r *Receiver) chat(w http.ResponseWriter, request *http.Request) {
	var body chatRequest
	holderRequest, refusal := r.acceptRequest(w, request, func(catalogue *cataloguer.Catalogue, raw []byte) (*cataloguer.Work, *holder.Refusal) {
		return findModel(catalogue, raw, &body)
	})
	if refusal != nil {
		writeRefusal(w, holderRequest.ID, refusal)
		return
	}
	holderRequest.Model = holderRequest.Work.Model
	holderRequest.Prompt = prompt(body.Messages)
	holderRequest.PromptTokens = estimateTokens(holderRequest.Prompt)
	holderRequest.MaxTokens = maxTokens(holderRequest.Work, body.MaxTokens)
	holderRequest.PrefixHashes = prefixHashes(holderRequest.Workspace, holderRequest.Prompt)
	answer := newChatAnswer(w, holderRequest, body.Stream)
	holderRequest.Answer = answer
	if refusal := r.holder.Serve(request.Context(), holderRequest); refusal != nil {
		answer.refuse(refusal)
	}
}

// findModel decodes the body and returns the work that the catalogue has for its model.
func findModel(catalogue *cataloguer.Catalogue, raw []byte, body *chatRequest) (*cataloguer.Work, *holder.Refusal) {
	if err := json.Unmarshal(raw, body); err != nil {
		return nil, invalidRequest("the body is not a valid chat completion request: " + err.Error())
	}
	if len(body.Messages) == 0 {
		return nil, invalidRequest("messages: at least one message is needed")
	}
	if body.MaxTokens < 0 {
		return nil, invalidRequest("max_tokens: must not be negative")
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

// maxTokens returns the token limit of an answer: the one that the caller requests, or else the output that the
// catalogue entry expects, but no more than the entry allows.
func maxTokens(work *cataloguer.Work, requested int) int {
	bound := requested
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
