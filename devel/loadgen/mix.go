package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
)

// Class is a kind of callers with the requests that they send.
type Class struct {
	Name string
	// Share is the class's part of the load, in any unit.
	Share float64
	build func(*builder) call
}

// Mix is the load of a deployment.
type Mix struct {
	Name    string
	Classes []Class
}

// YukimiMix is the load of the deployment for rotas, orders and menus.
func YukimiMix() Mix {
	return Mix{Name: "yukimi", Classes: []Class{
		{Name: "shop-list", Share: 30, build: dayList},
		{Name: "shop-order", Share: 20, build: goodsOrder},
		{Name: "planner", Share: 50, build: menuPlan},
	}}
}

// ArmorMix is the load of the deployment for rounds, letters and refills.
func ArmorMix() Mix {
	return Mix{Name: "armor", Classes: []Class{
		{Name: "driver-question", Share: 40, build: driverQuestion},
		{Name: "driver-refill", Share: 20, build: refillRecord},
		{Name: "driver-stock", Share: 15, build: stockLookUp},
		{Name: "depot-letter", Share: 25, build: depotLetter},
	}}
}

// MixByName returns the mix of a deployment.
func MixByName(name string) (Mix, error) {
	switch name {
	case "yukimi":
		return YukimiMix(), nil
	case "armor":
		return ArmorMix(), nil
	}
	return Mix{}, fmt.Errorf("no load mix %q: yukimi and armor exist", name)
}

// Names of what the requests of a deployment are sent to.
type Names struct {
	Model   string
	Service string
	// PromptTokensPerByte and MessageOverheadTokens are the model's, from which
	// the generator computes the bound of a request as the router does.
	PromptTokensPerByte   float64
	MessageOverheadTokens int64
	// ServicePrice is the price of a call of the plain service, in tokens.
	ServicePrice int64
}

// call is a request that is ready to be sent.
type call struct {
	kind, method, path string
	body               []byte
	// keyed is set if the caller sends an idempotency key.
	keyed, idempotent, stream bool
	bound                     int64
	wantHash                  uint64
}

// builder makes the request of one arrival. Its random numbers depend on the
// arrival alone.
type builder struct {
	names     Names
	workspace string
	marker    string
	random    *rand.Rand
}

func newBuilder(names Names, a Arrival, marker string) *builder {
	return &builder{
		names: names, workspace: a.Workspace, marker: marker,
		random: rand.New(rand.NewPCG(a.Draw, uint64(a.Number))),
	}
}

// echo is the marker in the form that the stand-ins repeat.
func (b *builder) echo() string { return engine.EchoOpen + b.marker + "]]" }

// dayList is a shop manager's look at the list of the day's orders.
func dayList(b *builder) call { return b.read("/echo/day-list/") }

// stockLookUp is a driver's look at what a depot has.
func stockLookUp(b *builder) call { return b.read("/echo/stock/") }

func (b *builder) read(path string) call {
	return call{
		kind: history.KindService, method: http.MethodGet, idempotent: true, bound: b.names.ServicePrice,
		path: "/svc/" + b.names.Service + path + url.PathEscape(b.echo()),
	}
}

// goodsOrder is a shop manager's order, which must not be carried out twice.
func goodsOrder(b *builder) call {
	return b.write(map[string]any{"milk": 1 + b.random.IntN(40), "cream": b.random.IntN(20)})
}

// refillRecord is a driver's record of a refilled machine.
func refillRecord(b *builder) call {
	return b.write(map[string]any{"machine": b.random.IntN(900), "polish": 1 + b.random.IntN(12)})
}

func (b *builder) write(fields map[string]any) call {
	fields["note"] = b.echo()
	body, _ := json.Marshal(fields) // plain values always encode
	return call{
		kind: history.KindService, method: http.MethodPost, keyed: true, bound: b.names.ServicePrice,
		path: "/svc/" + b.names.Service + "/orders", body: body,
	}
}

// Lengths of shared texts in bytes, and of answers in tokens.
const (
	planPrefixBytes   = 6 << 10
	letterPrefixBytes = 8 << 10
	sharedPrefixes    = 3 // per workspace
	planTokens        = 24
	planSpread        = 40
	questionTokens    = 8
	questionSpread    = 16
	letterTokens      = 32
	letterSpread      = 64
	// spareTokens is how far the requested limit is above the answer's length.
	spareTokens = 32
)

// menuPlan is a planner's request over one of the workspace's long menu files.
func menuPlan(b *builder) call {
	return b.chat(b.shared("menu plan", planPrefixBytes), planTokens+b.random.IntN(planSpread), true)
}

// depotLetter is a letter about an account with a long history.
func depotLetter(b *builder) call {
	return b.chat(b.shared("account history", letterPrefixBytes), letterTokens+b.random.IntN(letterSpread), true)
}

// driverQuestion is a short question; half of them ask for a whole answer.
func driverQuestion(b *builder) call {
	text := "Which machine is next on my round? "
	return b.chat(text, questionTokens+b.random.IntN(questionSpread), b.random.IntN(2) == 0)
}

// shared returns one of the long texts that the workspace's requests share.
func (b *builder) shared(what string, length int) string {
	head := fmt.Sprintf("%s %d of %s. ", what, b.random.IntN(sharedPrefixes), b.workspace)
	line := "Line of the file with the items, amounts and days that every request repeats. "
	return head + strings.Repeat(line, length/len(line))
}

// chat returns a chat request whose answer has a known length and text.
func (b *builder) chat(text string, tokens int, stream bool) call {
	content := fmt.Sprintf("%s%s[[len:%d]]", text, b.echo(), tokens)
	limit := tokens + spareTokens
	body, _ := json.Marshal(map[string]any{
		"model": b.names.Model, "max_tokens": limit, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	prompt := "user\n" + content + "\n"
	answer, _ := engine.Answer(prompt, limit)
	return call{
		kind: history.KindModel, method: http.MethodPost, path: "/v1/chat/completions", body: body,
		keyed: true, idempotent: true, stream: stream, wantHash: xxhash.Sum64String(answer),
		bound: int64(float64(len(prompt))*b.names.PromptTokensPerByte) + b.names.MessageOverheadTokens + int64(limit),
	}
}
