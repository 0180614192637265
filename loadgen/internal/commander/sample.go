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

// Run sends one request of each kind of work and prints the answers.
func (c *sampleCommand) Run(env environment) error {
	settings, err := planner.Load(c.Settings)
	if err != nil {
		return err
	}
	client, closeAll := sender.New(settings.Routers, settings.AnswerTimeout)
	defer closeAll()
	plan := planner.New(settings)
	incomplete := 0
	for i := range settings.Works {
		work := &settings.Works[i]
		var transcript sender.Transcript
		result := client.SendRecorded(env.ctx, plan.Sample(work), time.Now(), &transcript)
		if _, err := fmt.Fprint(env.out, c.format(work, &transcript, result)); err != nil {
			return reporter.Error.Wrap(err)
		}
		if result.Outcome != sender.Good && result.Outcome != sender.Late {
			incomplete++
		}
	}
	if incomplete > 0 {
		return &BoundError{Quantity: "number of samples without a complete answer", Got: float64(incomplete), Want: 0}
	}
	return nil
}

func (c *sampleCommand) format(work *planner.Work, transcript *sender.Transcript, result sender.Result) string {
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

// shorten removes empty lines and the middle of a long answer.
func (c *sampleCommand) shorten(lines []string) []string {
	nonEmpty := make([]string, 0, len(lines))
	for _, line := range lines {
		if strings.TrimSpace(line) != "" {
			nonEmpty = append(nonEmpty, line)
		}
	}
	omitted := len(nonEmpty) - 2*c.Lines
	if omitted <= 1 {
		return nonEmpty
	}
	short := append([]string{}, nonEmpty[:c.Lines]...)
	short = append(short, fmt.Sprintf("... %d lines left out ...", omitted))
	return append(short, nonEmpty[len(nonEmpty)-c.Lines:]...)
}
