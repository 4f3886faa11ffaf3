package questionnaire

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

const (
	// peakMargin is the ratio of a limit to the expected peak. Each router enforces
	// an equal share of a limit, but callers are not spread evenly over routers.
	peakMargin = 2
	// budgetsPerShard results in 4 shards for 3,000 budgets, the default answer, and
	// in 400 shards for 300,000.
	budgetsPerShard = 750
	minShards       = 4
	// refusalWeightPerPoint converts the answer's scale of 0 to 10 into the refusal
	// weight of 0 to 100.
	refusalWeightPerPoint = 10
	// keyWindowSeconds is the retention of idempotency keys.
	keyWindowSeconds = 3600
	bytesPerMbit     = 1_000_000 / 8
)

// Explanation is the derivation of one field of a configuration entry.
type Explanation struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Field   string          `json:"field"`
	Value   json.RawMessage `json:"value"`
	// Reason names the answer that the value is derived from, and the rule.
	Reason string `json:"because"`
}

// Generated is the configuration derived from answers.
type Generated struct {
	// Writes puts all entries; Snapshot is the configuration that results.
	Writes       []config.EntryWrite
	Snapshot     *config.Snapshot
	Explanations []Explanation
	// Budgets are not part of the configuration; operators create them with their tool,
	// monsoonctl.
	Budgets []Budget
}

// Generate derives the whole configuration from the answers. It fails if the result
// is not valid.
func (a *Answers) Generate() (*Generated, error) {
	b := &builder{answers: a, out: &Generated{Budgets: a.Budgets}}
	b.deployment()
	for i := range a.Models {
		b.model(i)
	}
	for i := range a.Services {
		b.service(i)
	}
	for i := range a.Pools {
		b.pool(i)
	}
	for i := range a.Workspaces {
		b.workspace(i)
	}
	if b.err != nil {
		return nil, b.err
	}
	events := make([]store.Event, len(b.out.Writes))
	for i, w := range b.out.Writes {
		events[i].Entry = store.Entry{Key: config.Key(w.Section, w.Name), Value: w.Value}
	}
	var err error
	if b.out.Snapshot, err = config.Empty().With(events); err != nil {
		return nil, err
	}
	return b.out, b.out.Snapshot.CheckReferences()
}

// Explain returns the explanations of one entry, or of one of its fields if
// field is not empty.
func (g *Generated) Explain(section, name, field string) []Explanation {
	var out []Explanation
	for _, e := range g.Explanations {
		if e.Section == section && e.Name == name && (field == "" || e.Field == field) {
			out = append(out, e)
		}
	}
	return out
}

// builder collects entries and their explanations.
type builder struct {
	answers *Answers
	out     *Generated
	err     error
	section string
	name    string
}

// put adds an entry. The calls of explain that follow refer to it.
func (b *builder) put(section, name string, value any) {
	b.section, b.name = section, name
	write, err := config.NewPut(section, name, value)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.out.Writes = append(b.out.Writes, write)
}

// explain adds the explanation of a field of the last entry. path is the path of the
// answer that the value is derived from, empty if there is none.
func (b *builder) explain(field string, value any, path, format string, args ...any) {
	encoded, err := json.Marshal(value)
	if err != nil && b.err == nil {
		b.err = err
	}
	text := fmt.Sprintf(format, args...)
	switch {
	case path == "":
	case b.answers.defaulted[path]:
		text = fmt.Sprintf("%q was not answered, so its default applies: %s", path, text)
	case b.answers.lines[path] > 0:
		text = fmt.Sprintf("answer %q (line %d): %s", path, b.answers.lines[path], text)
	default:
		text = fmt.Sprintf("answer %q: %s", path, text)
	}
	b.out.Explanations = append(b.out.Explanations, Explanation{
		Section: b.section, Name: b.name, Field: field, Value: encoded, Reason: text,
	})
}

const asAnswered = "taken as it is"

func (b *builder) deployment() {
	a := b.answers
	d := config.Deployment{
		Name: a.Name, Shards: max(minShards, uint32((a.ExpectedBudgets+budgetsPerShard-1)/budgetsPerShard)),
		StoreRegion: a.StoreRegion, RefusalWeight: a.HurtsMore * refusalWeightPerPoint,
		LinkBytesPerSecond: max(1, int64(a.Link.MbitPerSecond*bytesPerMbit*a.Link.SharePercent/100)),
		KeyWindowSeconds:   keyWindowSeconds,
	}
	for _, r := range a.Regions {
		d.Regions = append(d.Regions, config.Region(r))
	}
	d.Shards = min(d.Shards, config.MaxShards)
	b.put(config.SectionDeployment, config.DeploymentName, d)
	b.explain("name", d.Name, "name", asAnswered)
	b.explain("shards", d.Shards, "expected_budgets", "%d expected budgets, one shard for each %d of them, at least %d and at most %d shards",
		a.ExpectedBudgets, budgetsPerShard, minShards, config.MaxShards)
	b.explain("regions", d.Regions, "regions", asAnswered)
	b.explain("store_region", d.StoreRegion, "store_region", asAnswered)
	b.explain("refusal_weight", d.RefusalWeight, "hurts_more",
		"%d on a scale of 0 to %d is a weight of %d; %s", a.HurtsMore, maxHurtsMore, d.RefusalWeight, describeWeight(d.RefusalWeight))
	b.explain("link_bytes_per_second", d.LinkBytesPerSecond, "link.share_percent",
		"%s%% of %s Mbit/s, in bytes/s; the rest is for the store and for control traffic",
		formatNumber(a.Link.SharePercent), formatNumber(a.Link.MbitPerSecond))
	b.explain("key_window_seconds", d.KeyWindowSeconds, "", "no question asks for it: idempotency keys are kept for one hour")
}

// describeWeight describes the effect of a refusal weight. Its formulas repeat those
// of budget.Policy.
func describeWeight(weight int) string {
	w := float64(weight) / 100
	return fmt.Sprintf("a router holds %s s of a budget's demand, a caller waits up to %d ms for balance, and %s%% of each balance is kept back for regions whose demand starts later",
		formatNumber(3+7*w), int(1200+1800*w), formatNumber(10*(1-w)))
}

func (b *builder) model(i int) {
	m, path := b.answers.Models[i], fmt.Sprintf("models[%d].", i)
	entry := config.Model{
		Name: m.Name, PromptTokensPerByte: m.TokensPerByte, MessageOverheadTokens: m.MessageOverheadTokens,
		MaxOutputTokens: m.LongestAnswerTokens, DeadlineMillis: millis(m.DeadlineSeconds),
	}
	b.put(config.SectionModel, m.Name, entry)
	b.explain("name", entry.Name, path+"name", asAnswered)
	b.explain("prompt_tokens_per_byte", entry.PromptTokensPerByte, path+"tokens_per_byte",
		"a prompt of 1,000 bytes reserves %s tokens before it runs", formatNumber(1000*m.TokensPerByte))
	b.explain("message_overhead_tokens", entry.MessageOverheadTokens, path+"message_overhead_tokens", "reserved for each message of a chat")
	b.explain("max_output_tokens", entry.MaxOutputTokens, path+"longest_answer_tokens", "a request may ask for at most this many tokens")
	b.explain("deadline_millis", entry.DeadlineMillis, path+"deadline_seconds", "in milliseconds")
}

func (b *builder) service(i int) {
	s, path := b.answers.Services[i], fmt.Sprintf("services[%d].", i)
	entry := config.Service{
		Name: s.Name, PriceTokens: s.PriceTokens, IdempotentMethods: s.MayRepeat,
		DeadlineMillis: millis(s.DeadlineSeconds), MaxBodyBytes: s.LargestBodyKiB << 10,
	}
	b.put(config.SectionService, s.Name, entry)
	b.explain("name", entry.Name, path+"name", asAnswered)
	b.explain("price_tokens", entry.PriceTokens, path+"price_tokens", "each call costs this")
	repeat := "no call is sent again after it may have run"
	if len(s.MayRepeat) > 0 {
		repeat = "only calls of " + strings.Join(s.MayRepeat, ", ") + " are sent again after they may have run"
	}
	b.explain("idempotent_methods", entry.IdempotentMethods, path+"may_repeat", "%s", repeat)
	b.explain("deadline_millis", entry.DeadlineMillis, path+"deadline_seconds", "in milliseconds")
	b.explain("max_body_bytes", entry.MaxBodyBytes, path+"largest_body_kib", "in bytes")
}

func (b *builder) pool(i int) {
	p, path := b.answers.Pools[i], fmt.Sprintf("pools[%d].", i)
	entry := config.Pool{
		Name: p.Name, Kind: p.Kind, Targets: p.Serves, ChecksFence: p.EnginesCheckOrders, MinUpShare: p.KeepUpPercent / 100,
	}
	b.put(config.SectionPool, p.Name, entry)
	b.explain("name", entry.Name, path+"name", asAnswered)
	b.explain("kind", entry.Kind, path+"kind", asAnswered)
	b.explain("targets", entry.Targets, path+"serves", asAnswered)
	fence := "only the agent of each server rejects commands with a stale fencing token"
	if p.EnginesCheckOrders {
		fence = "the engines reject commands with a stale fencing token, as the agents do"
	}
	b.explain("checks_fence", entry.ChecksFence, path+"engines_check_orders", "%s", fence)
	b.explain("min_up_share", entry.MinUpShare, path+"keep_up_percent", "as a fraction")
}

func (b *builder) workspace(i int) {
	w, path := b.answers.Workspaces[i], fmt.Sprintf("workspaces[%d].", i)
	entry := config.Workspace{
		Name: w.Name, HomeRegion: w.HomeRegion, Models: w.Models, Services: w.Services,
		MaxConcurrent: w.PeakConcurrent * peakMargin, RequestsPerSecond: w.PeakRequestsPerSecond * peakMargin,
		Priority: w.Priority,
	}
	b.put(config.SectionWorkspace, w.Name, entry)
	b.explain("name", entry.Name, path+"name", asAnswered)
	b.explain("home_region", entry.HomeRegion, path+"home_region", "the workspace's idempotency keys are checked there")
	b.explain("models", entry.Models, path+"models", asAnswered)
	b.explain("services", entry.Services, path+"services", asAnswered)
	const margin = "%d times the expected peak of %s, because each router enforces an equal share and callers are not spread evenly"
	b.explain("max_concurrent", entry.MaxConcurrent, path+"peak_concurrent", margin, peakMargin, formatNumber(float64(w.PeakConcurrent)))
	b.explain("requests_per_second", entry.RequestsPerSecond, path+"peak_requests_per_second", margin, peakMargin, formatNumber(w.PeakRequestsPerSecond))
	b.explain("priority", entry.Priority, path+"priority", asAnswered)
}

// millis converts seconds to milliseconds, rounded, at least 1.
func millis(seconds float64) int64 { return max(1, int64(seconds*1000+0.5)) }
