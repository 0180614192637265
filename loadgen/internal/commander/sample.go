package commander

import (
	"fmt"
	"strings"
	"time"

	"coltsfootplank/loadgen/internal/planner"
	"coltsfootplank/loadgen/internal/reporter"
	"coltsfootplank/loadgen/internal/sender"
)

type sampleCommand struct {
	Settings string `help:"Load settings file." required:""`
	Lines    int    `help:"Lines shown of the beginning and of the end of a long answer." default:"4"`
}

// Run prints one answer of each kind of work.
func (c *sampleCommand) Run(s session) error {
	settings, err := planner.Load(c.Settings)
	if err != nil {
		return err
	}
	client, closeAll := sender.New(settings.Routers, settings.AnswerTimeout)
	defer closeAll()
	plan := planner.New(settings)
	broken := 0
	for i := range settings.Works {
		work := &settings.Works[i]
		var transcript sender.Transcript
		result := client.SendRecorded(s.ctx, plan.Sample(work), time.Now(), &transcript)
		if _, err := fmt.Fprint(s.out, c.text(work, &transcript, result)); err != nil {
			return reporter.Error.Wrap(err)
		}
		if result.Outcome != sender.Good && result.Outcome != sender.Late {
			broken++
		}
	}
	if broken > 0 {
		return &BoundError{What: "number of samples without a whole answer", Got: float64(broken), Want: 0}
	}
	return nil
}

func (c *sampleCommand) text(work *planner.Work, transcript *sender.Transcript, result sender.Result) string {
	target := "POST /v1/chat/completions model " + work.Model
	if work.Kind == planner.KindUnary {
		target = work.Method + " " + work.Path
	}
	text := fmt.Sprintf("== %s (tier %d): %s\nstatus %d, request %s\n", work.Name, work.Tier, target, transcript.Status, result.RequestID)
	for _, line := range c.shorten(strings.Split(strings.TrimSpace(transcript.Body.String()), "\n")) {
		text += "  " + line + "\n"
	}
	text += fmt.Sprintf("-> %s", result.Outcome)
	if result.Code != "" {
		text += " " + result.Code
	}
	if result.Detail != "" {
		text += ": " + result.Detail
	}
	if result.Tokens > 0 {
		text += fmt.Sprintf(", %d tokens, first after %d ms", result.Tokens, result.FirstToken.Milliseconds())
	}
	return text + fmt.Sprintf(", complete after %d ms\n\n", result.Total.Milliseconds())
}

// shorten leaves out empty lines and the middle of a long answer.
func (c *sampleCommand) shorten(lines []string) []string {
	filled := make([]string, 0, len(lines))
	for _, line := range lines {
		if strings.TrimSpace(line) != "" {
			filled = append(filled, line)
		}
	}
	hidden := len(filled) - 2*c.Lines
	if hidden <= 1 {
		return filled
	}
	short := append([]string{}, filled[:c.Lines]...)
	short = append(short, fmt.Sprintf("... %d lines left out ...", hidden))
	return append(short, filled[len(filled)-c.Lines:]...)
}
