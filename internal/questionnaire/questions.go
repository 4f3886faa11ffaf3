// Package questionnaire derives the whole configuration of a deployment from an
// operator's answers, and explains for each value which answer it is derived from
// and how. The operators' tool calls it, directly and through package ctl. It never
// reads or writes the store.
package questionnaire

import (
	"fmt"
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/config"
)

// kind is the type of an answer.
type kind uint8

const (
	// kindName is a short name of lower-case letters, digits and hyphens.
	kindName kind = iota
	// kindTarget is the name of a model, a service or a pool.
	kindTarget
	// kindText is one line of free text.
	kindText
	kindInteger
	kindNumber
	kindBool
	kindChoice
	// kindNames is a list of names, and kindMethods one of HTTP methods.
	kindNames
	kindMethods
	// kindGroup is a group of questions, kindList any number of such groups.
	kindGroup
	kindList
)

// Question is one question of the questionnaire. Key is its key in the answers file
// and Text its prompt.
type Question struct {
	Key  string
	Text string
	kind kind
	// low and high are the bounds, inclusive, of a number or of the length of a list
	// or a text.
	low, high float64
	choices   []string
	// defaultAnswer applies if no answer is given. A required question has none.
	defaultAnswer any
	required      bool
	items         []Question
	// shortNames requires the names in a list to have the form of kindName.
	shortNames bool
}

// Limits on answers. Where the configuration has a limit, it is derived from that.
const (
	maxHurtsMore       = 10
	maxItems           = 10_000
	maxTextBytes       = 200
	maxPeakRequests    = 100_000
	maxMbitPerSecond   = 400_000
	maxBudgets         = 10_000_000
	maxTokens          = 1 << 31 // exclusive limit of a model's output, of its overhead and of a price
	maxTopUpTokens     = 1e15
	maxDeadlineSeconds = config.MaxDeadlineMillis / 1000
	maxBodyKiB         = config.MaxServiceBodyBytes >> 10
)

// Questions lists all questions in the order in which Ask prompts for them.
var Questions = []Question{
	{Key: "name", Text: "Name of the deployment", kind: kindName, required: true},
	{Key: "regions", Text: "Regions", kind: kindList, low: 1, high: 64, required: true, items: []Question{
		{Key: "name", Text: "Name of the region", kind: kindName, required: true},
		{Key: "domains", Text: "Failure domains of the region: groups of hosts that can fail together", kind: kindNames, low: 1, high: 64, required: true, shortNames: true},
	}},
	{Key: "store_region", Text: "Region that holds the store", kind: kindName, required: true},
	{Key: "hurts_more", Text: "What hurts more, from 0 (balance that is out of reach or set aside) to 10 (a refusal of a request that is paid for)",
		kind: kindInteger, low: 0, high: maxHurtsMore, defaultAnswer: 5},
	{Key: "expected_budgets", Text: "Prepaid budgets expected within two years; this cannot be changed later",
		kind: kindInteger, low: 1, high: maxBudgets, defaultAnswer: 3000},
	{Key: "link", Text: "Link between regions", kind: kindGroup, items: []Question{
		{Key: "mbit_per_second", Text: "Rate of the link each way, in Mbit/s", kind: kindNumber, low: 0.01, high: maxMbitPerSecond, defaultAnswer: 30},
		{Key: "share_percent", Text: "Share of it that requests may use, in percent", kind: kindNumber, low: 1, high: 100, defaultAnswer: 80},
	}},
	{Key: "models", Text: "Models", kind: kindList, high: maxItems, items: modelQuestions},
	{Key: "services", Text: "Plain services", kind: kindList, high: maxItems, items: serviceQuestions},
	{Key: "pools", Text: "Pools of backend servers", kind: kindList, low: 1, high: maxItems, required: true, items: poolQuestions},
	{Key: "workspaces", Text: "Workspaces", kind: kindList, low: 1, high: maxItems, required: true, items: workspaceQuestions},
	{Key: "budgets", Text: "Budgets", kind: kindList, high: maxItems, items: budgetQuestions},
}

var modelQuestions = []Question{
	{Key: "name", Text: "Name of the model, as callers send it", kind: kindTarget, required: true},
	{Key: "longest_answer_tokens", Text: "Longest response, in tokens", kind: kindInteger, low: 1, high: maxTokens - 1, defaultAnswer: 4096},
	{Key: "deadline_seconds", Text: "Longest time that a request may take, in seconds", kind: kindNumber, low: 0.001, high: maxDeadlineSeconds, defaultAnswer: 60},
	{Key: "tokens_per_byte", Text: "Most tokens that one byte of a prompt can make (1 is always safe)", kind: kindNumber, low: 0.0001, high: 1, defaultAnswer: 1},
	{Key: "message_overhead_tokens", Text: "Tokens that the model adds to each message of a chat", kind: kindInteger, low: 0, high: maxTokens - 1, defaultAnswer: 8},
}

var serviceQuestions = []Question{
	{Key: "name", Text: "Name of the service, as in /svc/NAME/", kind: kindTarget, required: true},
	{Key: "price_tokens", Text: "Price of one call, in tokens", kind: kindInteger, low: 0, high: maxTokens - 1, required: true},
	{Key: "may_repeat", Text: "HTTP methods whose calls may run twice (calls of all others run at most once)", kind: kindMethods, high: 16, defaultAnswer: []any{}},
	{Key: "deadline_seconds", Text: "Longest time that a call may take, in seconds", kind: kindNumber, low: 0.001, high: maxDeadlineSeconds, defaultAnswer: 15},
	{Key: "largest_body_kib", Text: "Largest body of a call, in KiB", kind: kindInteger, low: 0, high: maxBodyKiB, defaultAnswer: 1024},
}

var poolQuestions = []Question{
	{Key: "name", Text: "Name of the pool, as in the host list", kind: kindTarget, required: true},
	{Key: "kind", Text: "What its servers run", kind: kindChoice, choices: []string{config.PoolModel, config.PoolService}, defaultAnswer: config.PoolModel},
	{Key: "serves", Text: "Models or services that its servers serve", kind: kindNames, low: 1, high: maxItems, required: true},
	{Key: "engines_check_orders", Text: "Do the engines themselves reject commands with a stale fencing token", kind: kindBool, defaultAnswer: false},
	{Key: "keep_up_percent", Text: "Share of its servers that a rollout keeps up, in percent", kind: kindNumber, low: 0, high: 100, defaultAnswer: 50},
}

var workspaceQuestions = []Question{
	{Key: "name", Text: "Name of the workspace", kind: kindName, required: true},
	{Key: "home_region", Text: "Region where most of its callers are", kind: kindName, required: true},
	{Key: "models", Text: "Models that it may call", kind: kindNames, high: maxItems, defaultAnswer: []any{}},
	{Key: "services", Text: "Plain services that it may call", kind: kindNames, high: maxItems, defaultAnswer: []any{}},
	{Key: "peak_requests_per_second", Text: "Expected peak of requests/s", kind: kindNumber, low: 0.001, high: maxPeakRequests, required: true},
	{Key: "peak_concurrent", Text: "Expected peak of requests at the same time", kind: kindInteger, low: 1, high: maxPeakRequests, required: true},
	{Key: "priority", Text: "Priority, higher for more urgent work", kind: kindInteger, low: -config.MaxPriority, high: config.MaxPriority, defaultAnswer: 0},
}

var budgetQuestions = []Question{
	{Key: "workspace", Text: "Workspace that pays with the budget", kind: kindName, required: true},
	{Key: "name", Text: "Name of the budget", kind: kindName, defaultAnswer: "main"},
	{Key: "topped_up_by", Text: "Who tops it up", kind: kindText, low: 1, high: maxTextBytes, required: true},
	{Key: "first_top_up_tokens", Text: "First top-up, in tokens", kind: kindInteger, low: 0, high: maxTopUpTokens, defaultAnswer: 0},
}

// AllowedAnswer describes the answers that the question accepts, as a phrase for
// prompts and error messages.
func (q Question) AllowedAnswer() string {
	switch q.kind {
	case kindName:
		return "a name of lower-case letters, digits and hyphens, at most 63 characters"
	case kindTarget:
		return "a name of letters, digits and . _ : -, at most 128 characters"
	case kindText:
		return fmt.Sprintf("a line of %g to %g characters", q.low, q.high)
	case kindInteger:
		return fmt.Sprintf("a whole number from %s to %s", formatNumber(q.low), formatNumber(q.high))
	case kindNumber:
		return fmt.Sprintf("a number from %s to %s", formatNumber(q.low), formatNumber(q.high))
	case kindBool:
		return "true or false"
	case kindChoice:
		return strings.Join(q.choices, " or ")
	case kindNames:
		if q.shortNames {
			return fmt.Sprintf("a list of %g to %g names of lower-case letters, digits and hyphens", q.low, q.high)
		}
		return fmt.Sprintf("a list of %g to %g names", q.low, q.high)
	case kindMethods:
		return "a list of HTTP methods in capitals, such as GET"
	case kindGroup:
		return "a group of answers"
	default:
		return fmt.Sprintf("a list of %g to %g groups of answers", q.low, q.high)
	}
}

// formatNumber formats a number with at most four decimals and without an exponent.
func formatNumber(v float64) string {
	text := fmt.Sprintf("%.4f", v)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}
