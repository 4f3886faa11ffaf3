package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A request must be served by the route with the longest matching prefix.
func TestRouteByLongestPrefix(t *testing.T) {
	c := qt.New(t)
	target := []Target{{Service: "s", Weight: 1}}
	cat := New(Spec{Routes: []Route{
		{Name: "short", Host: "H.example", PathPrefix: "/a/", Targets: target},
		{Name: "long", Host: "h.example", PathPrefix: "/a/b/", Targets: target},
		{Name: "other", Host: "other", PathPrefix: "/", Targets: target},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a": "", "/b/": "", "/a%2Fb/": ""} {
		route := cat.Route("h.EXAMPLE:8080", path)
		if want == "" {
			c.Assert(route, qt.IsNil, qt.Commentf("%s", path))
			continue
		}
		c.Assert(route.Name, qt.Equals, want)
	}
	c.Assert(cat.Route("nobody", "/a/"), qt.IsNil)
}

// The services of a route must get requests in proportion to their weights.
func TestPickServiceByWeight(t *testing.T) {
	c := qt.New(t)
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	got := map[string]int{}
	for n := range uint64(1000) {
		got[r.PickService(n)]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	c.Assert((&Route{Targets: []Target{{Service: "x"}}}).PickService(7), qt.Equals, "x")
}

// Only requests of kind Idempotent and resumable streams may be repeated.
func TestIdempotent(t *testing.T) {
	c := qt.New(t)
	c.Assert((&Route{Kind: Idempotent}).Idempotent(), qt.IsTrue)
	c.Assert((&Route{Kind: NonIdempotent, Resumable: true}).Idempotent(), qt.IsFalse)
	c.Assert((&Route{Kind: Stream}).Idempotent(), qt.IsFalse)
	c.Assert((&Route{Kind: Stream, Resumable: true}).Idempotent(), qt.IsTrue)
}
