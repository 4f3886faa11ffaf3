package questionnaire

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/limitio"
)

// Answers are the validated answers to all questions. The JSON names are the keys
// of the questions.
type Answers struct {
	Name        string   `json:"name"`
	Regions     []Region `json:"regions"`
	StoreRegion string   `json:"store_region"`
	// HurtsMore says what hurts more, from 0 (balance that is out of reach or set aside)
	// to 10 (a refusal of a request that is paid for).
	HurtsMore       int         `json:"hurts_more"`
	ExpectedBudgets int         `json:"expected_budgets"`
	Link            Link        `json:"link"`
	Models          []Model     `json:"models"`
	Services        []Service   `json:"services"`
	Pools           []Pool      `json:"pools"`
	Workspaces      []Workspace `json:"workspaces"`
	Budgets         []Budget    `json:"budgets"`

	// lines maps the path of each given answer to its line in the answers file;
	// defaulted holds the paths of the answers that were filled in by default.
	lines     map[string]int
	defaulted map[string]bool
}

// Region is the answer about one region.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
}

// Link is the answer about the link between regions.
type Link struct {
	MbitPerSecond float64 `json:"mbit_per_second"`
	SharePercent  float64 `json:"share_percent"`
}

// Model is the answer about one model.
type Model struct {
	Name                  string        `json:"name"`
	LongestAnswerTokens   budget.Tokens `json:"longest_answer_tokens"`
	DeadlineSeconds       float64       `json:"deadline_seconds"`
	TokensPerByte         float64       `json:"tokens_per_byte"`
	MessageOverheadTokens budget.Tokens `json:"message_overhead_tokens"`
}

// Service is the answer about one plain service.
type Service struct {
	Name            string        `json:"name"`
	PriceTokens     budget.Tokens `json:"price_tokens"`
	MayRepeat       []string      `json:"may_repeat"`
	DeadlineSeconds float64       `json:"deadline_seconds"`
	LargestBodyKiB  int64         `json:"largest_body_kib"`
}

// Pool is the answer about one pool.
type Pool struct {
	Name               string   `json:"name"`
	Kind               string   `json:"kind"`
	Serves             []string `json:"serves"`
	EnginesCheckOrders bool     `json:"engines_check_orders"`
	KeepUpPercent      float64  `json:"keep_up_percent"`
}

// Workspace is the answer about one workspace.
type Workspace struct {
	Name                  string   `json:"name"`
	HomeRegion            string   `json:"home_region"`
	Models                []string `json:"models"`
	Services              []string `json:"services"`
	PeakRequestsPerSecond float64  `json:"peak_requests_per_second"`
	PeakConcurrent        int      `json:"peak_concurrent"`
	Priority              int8     `json:"priority"`
}

// Budget is the answer about one budget.
type Budget struct {
	Workspace        string        `json:"workspace"`
	Name             string        `json:"name"`
	ToppedUpBy       string        `json:"topped_up_by"`
	FirstTopUpTokens budget.Tokens `json:"first_top_up_tokens"`
}

// ID returns the name of the budget as "WORKSPACE/NAME".
func (b Budget) ID() budget.ID { return budget.MakeID(b.Workspace, b.Name) }

// maxAnswersBytes limits an answers file. It has room for 300,000 budgets.
const maxAnswersBytes = 128 << 20

// Load reads and validates an answers file. Its errors name the file, the line, the
// question and the answers that it accepts.
func Load(path string) (*Answers, error) {
	data, err := limitio.ReadFile(path, maxAnswersBytes)
	if err != nil {
		return nil, err
	}
	a, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return a, nil
}

// Parse decodes and validates answers in YAML. It reports all wrong answers at
// once; references between answers are checked only if the answers are otherwise
// valid.
func Parse(data []byte) (*Answers, error) {
	r := &reader{lines: map[string]int{}, defaulted: map[string]bool{}}
	tree := r.read(data)
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	encoded, err := json.Marshal(tree)
	if err != nil {
		return nil, err
	}
	a := &Answers{lines: r.lines, defaulted: r.defaulted}
	if err := json.Unmarshal(encoded, a); err != nil {
		return nil, err
	}
	return a, a.checkReferences()
}

// referenceChecker collects the errors of answers that refer to other answers.
type referenceChecker struct {
	a    *Answers
	errs []error
}

// check records an error about the answer at path unless ok is set.
func (r *referenceChecker) check(ok bool, path, format string, args ...any) {
	if !ok {
		r.errs = append(r.errs, answerError(r.a.lines[path], path, fmt.Sprintf(format, args...)))
	}
}

// requireNames checks that each name is an existing answer to another question.
func (r *referenceChecker) requireNames(path, question string, names []string, existing map[string]bool) {
	for _, name := range names {
		r.check(existing[name], path, "%q is not one of the answers to %q", name, question)
	}
}

func (a *Answers) checkReferences() error {
	r := &referenceChecker{a: a}
	regions := nameSet(r, "regions", a.Regions, func(v Region) string { return v.Name })
	models := nameSet(r, "models", a.Models, func(v Model) string { return v.Name })
	services := nameSet(r, "services", a.Services, func(v Service) string { return v.Name })
	workspaces := nameSet(r, "workspaces", a.Workspaces, func(v Workspace) string { return v.Name })
	nameSet(r, "pools", a.Pools, func(v Pool) string { return v.Name })
	nameSet(r, "budgets", a.Budgets, func(v Budget) string { return string(v.ID()) })
	a.checkDomains(r)
	r.requireNames("store_region", "regions", []string{a.StoreRegion}, regions)
	for i, p := range a.Pools {
		if path := fmt.Sprintf("pools[%d].serves", i); p.Kind == config.PoolModel {
			r.requireNames(path, "models", p.Serves, models)
		} else {
			r.requireNames(path, "services", p.Serves, services)
		}
	}
	for i, w := range a.Workspaces {
		path := fmt.Sprintf("workspaces[%d].", i)
		r.requireNames(path+"home_region", "regions", []string{w.HomeRegion}, regions)
		r.requireNames(path+"models", "models", w.Models, models)
		r.requireNames(path+"services", "services", w.Services, services)
	}
	for i, b := range a.Budgets {
		r.requireNames(fmt.Sprintf("budgets[%d].workspace", i), "workspaces", []string{b.Workspace}, workspaces)
	}
	return errors.Join(r.errs...)
}

// checkDomains checks that no failure domain is in two regions.
func (a *Answers) checkDomains(r *referenceChecker) {
	seen := map[string]bool{}
	for i, region := range a.Regions {
		for _, domain := range region.Domains {
			r.check(!seen[domain], fmt.Sprintf("regions[%d].domains", i), "%q is in two regions", domain)
			seen[domain] = true
		}
	}
}

// nameSet returns the set of the names in a list and checks that they are unique.
func nameSet[T any](r *referenceChecker, list string, values []T, name func(T) string) map[string]bool {
	set := map[string]bool{}
	for i, v := range values {
		r.check(!set[name(v)], fmt.Sprintf("%s[%d]", list, i), "%q appears twice", name(v))
		set[name(v)] = true
	}
	return set
}
