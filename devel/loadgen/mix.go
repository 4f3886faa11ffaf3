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

// Class is a class of callers that send the same kind of request.
type Class struct {
	Name string
	// Share is the weight of the class in the load, relative to the other classes.
	Share float64
	build func(*builder) call
}

// Mix is the composition of a deployment's load.
type Mix struct {
	Name    string
	Classes []Class
}

// YukimiMix returns the mix of the deployment for rotas, orders and menus.
func YukimiMix() Mix {
	return Mix{Name: "yukimi", Classes: []Class{
		{Name: "shop-list", Share: 30, build: dayList},
		{Name: "shop-order", Share: 20, build: goodsOrder},
		{Name: "planner", Share: 50, build: menuPlan},
	}}
}

// ArmorMix returns the mix of the deployment for rounds, letters and refills.
func ArmorMix() Mix {
	return Mix{Name: "armor", Classes: []Class{
		{Name: "driver-question", Share: 40, build: driverQuestion},
		{Name: "driver-refill", Share: 20, build: refillRecord},
		{Name: "driver-stock", Share: 15, build: stockLookUp},
		{Name: "depot-letter", Share: 25, build: depotLetter},
	}}
}

// MixByName returns the mix named yukimi or armor, and an error for any other name.
func MixByName(name string) (Mix, error) {
	switch name {
	case "yukimi":
		return YukimiMix(), nil
	case "armor":
		return ArmorMix(), nil
	}
	return Mix{}, fmt.Errorf("unknown load mix %q: must be yukimi or armor", name)
}

// Targets holds the model and the plain service that requests go to, and the settings
// and prices that determine their cost.
type Targets struct {
	Model   string
	Service string
	// PromptTokensPerByte and MessageOverheadTokens are the model's settings, from
	// which the generator computes the maximum cost of a request as the router does.
	PromptTokensPerByte   float64
	MessageOverheadTokens int64
	// ServicePrice is the price of a call of the plain service, in tokens.
	ServicePrice int64
}

// call is a built request with its expected properties.
type call struct {
	kind, method, path string
	body               []byte
	// keyed is set if the caller sends an idempotency key. stream is set if it asks
	// for a streamed response.
	keyed, idempotent, stream bool
	maxCost                   int64
	wantHash                  uint64
}

// builder builds the request of one arrival. Its random numbers depend only on the
// arrival, so that a load test can be reproduced from its seed.
type builder struct {
	targets   Targets
	workspace string
	marker    string
	random    *rand.Rand
}

func newBuilder(targets Targets, a Arrival, marker string) *builder {
	return &builder{
		targets: targets, workspace: a.Workspace, marker: marker,
		random: rand.New(rand.NewPCG(a.Seed, uint64(a.Number))),
	}
}

// echoMarker returns the marker in the syntax that makes the stand-in servers echo it.
func (b *builder) echoMarker() string { return engine.EchoOpen + b.marker + "]]" }

// dayList is a shop manager's request for the list of the day's orders.
func dayList(b *builder) call { return b.getCall("/echo/day-list/") }

// stockLookUp is a driver's request for the stock of a depot.
func stockLookUp(b *builder) call { return b.getCall("/echo/stock/") }

func (b *builder) getCall(path string) call {
	return call{
		kind: history.KindService, method: http.MethodGet, idempotent: true, maxCost: b.targets.ServicePrice,
		path: "/svc/" + b.targets.Service + path + url.PathEscape(b.echoMarker()),
	}
}

// goodsOrder is a shop manager's order, which is not idempotent.
func goodsOrder(b *builder) call {
	return b.postCall(map[string]any{"milk": 1 + b.random.IntN(40), "cream": b.random.IntN(20)})
}

// refillRecord is a driver's record of a refilled machine.
func refillRecord(b *builder) call {
	return b.postCall(map[string]any{"machine": b.random.IntN(900), "polish": 1 + b.random.IntN(12)})
}

func (b *builder) postCall(fields map[string]any) call {
	fields["note"] = b.echoMarker()
	body, _ := json.Marshal(fields) // cannot fail for these types
	return call{
		kind: history.KindService, method: http.MethodPost, keyed: true, maxCost: b.targets.ServicePrice,
		path: "/svc/" + b.targets.Service + "/orders", body: body,
	}
}

const (
	// planPrefixBytes and letterPrefixBytes are the lengths of shared prompt prefixes.
	planPrefixBytes   = 6 << 10
	letterPrefixBytes = 8 << 10
	// sharedPrefixes is the number of shared prefixes per workspace and topic.
	sharedPrefixes = 3
	// A response has the number of tokens of its class (plan, question or letter) plus
	// a random number below the class's spread.
	planTokens     = 24
	planSpread     = 40
	questionTokens = 8
	questionSpread = 16
	letterTokens   = 32
	letterSpread   = 64
	// limitMarginTokens is how far the requested max_tokens exceeds the length of the
	// response.
	limitMarginTokens = 32
)

// menuPlan is a planner's streamed request with one of the workspace's long menu
// files as its prompt.
func menuPlan(b *builder) call {
	return b.chat(b.sharedText("menu plan", planPrefixBytes), planTokens+b.random.IntN(planSpread), true)
}

// depotLetter is a streamed request for a letter with a long account history as its
// prompt.
func depotLetter(b *builder) call {
	return b.chat(b.sharedText("account history", letterPrefixBytes), letterTokens+b.random.IntN(letterSpread), true)
}

// driverQuestion is a short question. Half of them ask for a streamed response.
func driverQuestion(b *builder) call {
	text := "Which machine is next on my round? "
	return b.chat(text, questionTokens+b.random.IntN(questionSpread), b.random.IntN(2) == 0)
}

// sharedText returns one of the long prompt prefixes that requests of the workspace
// share, so that engines can reuse their prefix caches.
func (b *builder) sharedText(topic string, length int) string {
	head := fmt.Sprintf("%s %d of %s. ", topic, b.random.IntN(sharedPrefixes), b.workspace)
	line := "Line of the file with the items, amounts and days that every request repeats. "
	return head + strings.Repeat(line, length/len(line))
}

// chat returns a chat request. The stand-in engine's response to it has the given
// number of tokens and a known text.
func (b *builder) chat(text string, tokens int, stream bool) call {
	content := fmt.Sprintf("%s%s[[len:%d]]", text, b.echoMarker(), tokens)
	limit := tokens + limitMarginTokens
	body, _ := json.Marshal(map[string]any{
		"model": b.targets.Model, "max_tokens": limit, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	prompt := "user\n" + content + "\n"
	responseText, _ := engine.ResponseText(prompt, limit)
	return call{
		kind: history.KindModel, method: http.MethodPost, path: "/v1/chat/completions", body: body,
		keyed: true, idempotent: true, stream: stream, wantHash: xxhash.Sum64String(responseText),
		maxCost: int64(float64(len(prompt))*b.targets.PromptTokensPerByte) + b.targets.MessageOverheadTokens + int64(limit),
	}
}
