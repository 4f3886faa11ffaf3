package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// Guards against a fault anywhere on the path of a request through real processes:
// the published OpenAI client gets complete and streamed responses, a plain service
// gets its call unchanged, and each request is billed once.
func TestWholePath(t *testing.T) {
	d := start(t, testbed.Yukimi().Small(), testbed.Options{})
	router, workspace := "sapporo-a-router-1", "yukimi-00"
	client := openai.NewClient(option.WithBaseURL(d.url(router)+"/v1"), option.WithAPIKey(d.Keys[workspace]))
	params := openai.ChatCompletionNewParams{
		Model: d.Spec.Model.Name, MaxTokens: openai.Int(40),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which flavours this week?")},
	}
	whole, err := client.Chat.Completions.New(context.Background(), params)
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(whole.Choices[0].Message.Content, qt.Not(qt.Equals), "")
	d.c.Assert(whole.Usage.CompletionTokens > 0 && whole.Usage.CompletionTokens <= 40, qt.IsTrue)

	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	text := ""
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text += choices[0].Delta.Content
		}
	}
	d.c.Assert(stream.Err(), qt.IsNil)
	d.c.Assert(text, qt.Equals, whole.Choices[0].Message.Content)

	order := d.call(router, workspace, http.MethodPost, "/svc/rota/orders?shop=7", `{"milk":12}`,
		map[string]string{"X-Shop": "7"})
	d.c.Assert(order.status, qt.Equals, http.StatusCreated, qt.Commentf("%+v", order))
	d.c.Assert(order.verdict, qt.Equals, "ran")
	d.assertBilled(workspace, 3)
}

// billTimeout limits the time until bills are durable, with a margin for a busy
// host.
const billTimeout = 60 * time.Second

// assertBilled waits until want bills of the workspace are durable and checks that
// there are no more.
func (d *deployment) assertBilled(workspace string, want int) {
	d.c.Helper()
	id := budget.MakeID(workspace, "")
	var bills []budget.Bill
	d.eventually(billTimeout, func() bool {
		statement, err := d.Budgets.Statement(context.Background(), id, d.Spec.RegionNames())
		d.c.Assert(err, qt.IsNil)
		bills = statement.Bills
		return len(bills) >= want
	}, "%d bills of %d are durable", len(bills), want)
	d.c.Assert(bills, qt.HasLen, want)
}
