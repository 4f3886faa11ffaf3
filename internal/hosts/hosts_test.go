package hosts_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostlist"
	"github.com/monsoonworks/monsoonworks/devel/standin/pipenet"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

func host(i int) hosts.Host {
	h := hosts.Host{
		Name: fmt.Sprintf("h%d", i), Address: fmt.Sprintf("192.0.2.%d:7000", i),
		Role: wire.RoleRouter, Region: "r", Domain: "d",
	}
	if i%2 == 1 {
		h.Role, h.Pool = wire.RoleAgent, "p"
	}
	return h
}

// Guards against different lists with the same version, and against a diff that does not
// reproduce the new list.
func TestDiff(t *testing.T) {
	c := qt.New(t)
	before := hosts.NewList([]hosts.Host{host(1), host(2), host(3)})
	moved := host(2)
	moved.Address = "192.0.2.99:1"
	after := hosts.NewList([]hosts.Host{host(4), host(3), moved})
	c.Assert(before.Version, qt.Not(qt.Equals), after.Version)
	changed, removed := hosts.Diff(before, after)
	c.Assert(changed, qt.DeepEquals, []hosts.Host{moved, host(4)})
	c.Assert(removed, qt.DeepEquals, []string{"h1"})
	again := before.With(hosts.FromWire(hosts.ToWire(changed)), removed)
	c.Assert(again.Version, qt.Equals, after.Version)
	c.Assert(again.ByPool("p"), qt.DeepEquals, []hosts.Host{host(3)})
	c.Assert(again.Routers("r"), qt.DeepEquals, []hosts.Host{moved, host(4)})
}

// Guards against a client that misses a change, returns another *List for an unchanged
// list, or treats an error as an empty list.
func TestClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		list := hostlist.New(3 * time.Second) // changes become visible after this time
		network := pipenet.New()
		server := &http.Server{Handler: list}
		go func() { _ = server.Serve(network) }()
		defer func() { _ = server.Close() }()
		transport := &http.Transport{DialContext: network.DialContext}
		defer transport.CloseIdleConnections()
		client := hosts.NewClient("http://hosts.invalid/", transport)
		list.Put(host(1), host(2))
		first, err := client.Fetch(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(first.Len(), qt.Equals, 0)
		time.Sleep(3 * time.Second)
		second, err := client.Fetch(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(second.All(), qt.DeepEquals, []hosts.Host{host(1), host(2)})
		third, err := client.Fetch(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(third, qt.Equals, second) // the same *List
		list.SetDown(true)
		_, err = client.Fetch(c.Context())
		c.Assert(err, qt.ErrorIs, hosts.ErrHostList)
	})
}

// Guards against one invalid group that hides all other hosts, and against a list with
// only invalid groups, as in another format, that is decoded as an empty one.
func TestInvalidGroups(t *testing.T) {
	c := qt.New(t)
	list, invalid, err := hosts.Decode([]byte(`[{"targets":["host:1"],"labels":{}},` +
		`{"targets":["192.0.2.1:1"],"labels":{"name":"a","role":"router","region":"r","domain":"d"}}]`))
	c.Assert(err, qt.IsNil)
	c.Assert(invalid, qt.Equals, 1)
	c.Assert(list, qt.HasLen, 1)
	_, _, err = hosts.Decode([]byte(`[{"targets":["host:1"]}]`))
	c.Assert(err, qt.ErrorIs, hosts.ErrHostList)
}

// Guards against a panic in Decode, and against hosts that change when they are encoded
// and decoded again.
func FuzzDecode(f *testing.F) {
	encoded, _ := hosts.Encode([]hosts.Host{host(1), host(2)})
	f.Add(encoded)
	f.Add([]byte(`[{"targets":["[::1]:1"],"labels":{"name":"a","role":"agent","region":"r","domain":"d","state":"leaving"}}]`))
	f.Add([]byte(`[{"targets":[]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, _, err := hosts.Decode(data)
		if err != nil {
			return
		}
		encoded, err := hosts.Encode(list)
		if err != nil {
			t.Fatal(err)
		}
		again, invalid, err := hosts.Decode(encoded)
		if err != nil || invalid != 0 || hosts.NewList(again).Version != hosts.NewList(list).Version {
			t.Fatalf("hosts of %q changed when encoded as %q: %v", data, encoded, err)
		}
	})
}
