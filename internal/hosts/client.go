package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	requestTimeout = 5 * time.Second
	// maxListBytes bounds the encoded host list. The target deployment has about 2,500
	// hosts of 200 bytes each.
	maxListBytes = 8 << 20
	// maxNameBytes bounds the names of a host, its region and its domain.
	maxNameBytes = 253
)

// stateLeaving is the value of the label "state" of a host that is draining and about to
// stop.
const stateLeaving = "leaving"

// ErrHostList means that the host list could not be fetched or decoded.
var ErrHostList = errors.New("cannot read host list")

// Client fetches the host list over HTTP. It is not safe for concurrent use.
type Client struct {
	// InvalidGroups is the number of groups without a valid host in the list that was
	// downloaded last.
	InvalidGroups int

	url  string
	http *http.Client
	etag string
	last *List
}

// NewClient returns a client of the list at a URL. A nil transport means
// http.DefaultTransport.
func NewClient(url string, transport http.RoundTripper) *Client {
	return &Client{url: url, http: &http.Client{Transport: transport, Timeout: requestTimeout}, last: NewList(nil)}
}

// Fetch returns the current list. If the list has not changed since the last call it
// returns the same *List. Errors wrap ErrHostList.
func (c *Client) Fetch(ctx context.Context) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHostList, err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// An unresponsive connection must not be reused.
		c.http.CloseIdleConnections()
		return nil, fmt.Errorf("%w: %w", ErrHostList, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.last, nil
	case http.StatusOK:
	default:
		return nil, fmt.Errorf("%w: status %d", ErrHostList, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err == nil && len(body) > maxListBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxListBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHostList, err)
	}
	hosts, invalid, err := Decode(body)
	if err != nil {
		return nil, err
	}
	c.InvalidGroups = invalid
	c.etag = resp.Header.Get("ETag")
	if list := NewList(hosts); list.Version != c.last.Version {
		c.last = list
	}
	return c.last, nil
}

// targetGroup is one element of a list in the HTTP service discovery format of
// Prometheus.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Decode decodes a host list in the HTTP service discovery format. Each group describes
// one host, so it has one target. Unknown labels are ignored. Invalid groups are skipped
// and counted, so that one of them does not block changes of all other hosts. If there
// are groups and all are invalid, Decode returns an error. Errors wrap ErrHostList.
func Decode(data []byte) (hosts []Host, invalid int, err error) {
	var groups []targetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrHostList, err)
	}
	hosts = make([]Host, 0, len(groups))
	for i, g := range groups {
		h, hostErr := g.host()
		if hostErr != nil {
			invalid++
			err = fmt.Errorf("%w: group %d: %w", ErrHostList, i, hostErr)
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 && err != nil {
		return nil, invalid, err
	}
	return hosts, invalid, nil
}

func (g targetGroup) host() (Host, error) {
	if len(g.Targets) != 1 {
		return Host{}, fmt.Errorf("%d targets, want 1", len(g.Targets))
	}
	h := Host{
		Name: g.Labels["name"], Address: g.Targets[0], Role: wire.Role(g.Labels["role"]),
		Region: g.Labels["region"], Domain: g.Labels["domain"], Pool: g.Labels["pool"],
		Leaving: g.Labels["state"] == stateLeaving,
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return Host{}, err
	}
	if h.Role != wire.RoleRouter && h.Role != wire.RoleAgent {
		return Host{}, fmt.Errorf("unknown role %q", h.Role)
	}
	for _, label := range []string{"name", "region", "domain"} {
		if v := g.Labels[label]; v == "" || len(v) > maxNameBytes {
			return Host{}, fmt.Errorf("label %s is missing or too long", label)
		}
	}
	return h, nil
}

// Encode encodes hosts in the HTTP service discovery format.
func Encode(hosts []Host) ([]byte, error) {
	groups := make([]targetGroup, len(hosts))
	for i, h := range hosts {
		labels := map[string]string{
			"name": h.Name, "role": string(h.Role), "region": h.Region, "domain": h.Domain, "state": "live",
		}
		if h.Pool != "" {
			labels["pool"] = h.Pool
		}
		if h.Leaving {
			labels["state"] = stateLeaving
		}
		groups[i] = targetGroup{Targets: []string{h.Address}, Labels: labels}
	}
	return json.Marshal(groups)
}
