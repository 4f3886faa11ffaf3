package gateway

import (
	"slices"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// modelEntry is a model in the published format.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelEntries struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func newModelEntry(name string) modelEntry {
	return modelEntry{ID: name, Object: "model", OwnedBy: "monsoonworks"}
}

func modelList(names []string) modelEntries {
	list := modelEntries{Object: "list", Data: make([]modelEntry, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, newModelEntry(name))
	}
	return list
}

// callableModels returns the models that the caller's workspace may use.
func (g *Gateway) callableModels(who caller) []string {
	var names []string
	for _, name := range who.workspace.Models {
		if _, ok := g.opts.Directory.Model(name); ok {
			names = append(names, name)
		}
	}
	return names
}

// errNoModel is the same for a model of another workspace and for none.
func errNoModel(name string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "the model %s does not exist or the workspace cannot use it", quoted(name))
}

func (g *Gateway) serveOneModel(a *answer, who caller, name string) *verdict.Error {
	if !slices.Contains(g.callableModels(who), name) {
		return errNoModel(name)
	}
	a.json(newModelEntry(name))
	return nil
}
