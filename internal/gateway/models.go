package gateway

import (
	"slices"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// modelEntry is a model in the format of the OpenAI API.
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

// callableModels returns the names of the models that the caller's workspace may
// call.
func (g *Gateway) callableModels(caller identity) []string {
	var names []string
	for _, name := range caller.workspace.Models {
		if _, ok := g.opts.Directory.Model(name); ok {
			names = append(names, name)
		}
	}
	return names
}

// errModelNotFound returns the same error for a model of another workspace and for
// one that does not exist.
func errModelNotFound(name string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "the model %s does not exist or the workspace cannot use it", quoteTruncated(name))
}

func (g *Gateway) serveModelInfo(resp *response, caller identity, name string) *verdict.Error {
	if !slices.Contains(g.callableModels(caller), name) {
		return errModelNotFound(name)
	}
	resp.writeJSON(newModelEntry(name))
	return nil
}
