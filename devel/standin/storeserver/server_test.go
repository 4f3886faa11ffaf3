package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

func post(s *Server, path, body string) (status int, response string) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// Guards against responses that differ from the format of the etcd JSON gateway:
// keys and values in base64, int64 as strings, false and empty fields omitted.
func TestGatewayFormat(t *testing.T) {
	c := qt.New(t)
	s := New(memstore.New(memstore.Options{}))
	for _, test := range []struct {
		path, body string
		status     int
		want       string
	}{
		{"/v3/kv/txn", `{"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],` +
			`"success":[{"request_put":{"key":"YQ==","value":"AP8="}}]}`, 200,
			`{"header":{"revision":"2"},"succeeded":true,"responses":[{"response_put":{}}]}`},
		{"/v3/kv/range", `{"key":"YQ=="}`, 200,
			`{"header":{"revision":"2"},"kvs":[{"key":"YQ==","value":"AP8=","mod_revision":"2"}],"count":"1"}`},
		{"/v3/kv/txn", `{"compare":[{"key":"YQ==","target":"MOD","mod_revision":"9"}],"failure":[{"request_range":{"key":"YQ=="}}]}`, 200,
			`{"header":{"revision":"2"},"responses":[{"response_range":{"header":{"revision":"2"},` +
				`"kvs":[{"key":"YQ==","value":"AP8=","mod_revision":"2"}],"count":"1"}}]}`},
		{"/v3/lease/keepalive", `{"ID":"77"}`, 200, `{"result":{"header":{"revision":"2"},"ID":"77"}}`},
		{"/v3/kv/lease/revoke", `{"ID":"77"}`, 404,
			`{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`},
		{"/v3/kv/range", `{"key":"YQ==","range_end":"eg=="}`, 400, `{"error":"invalid request.*`},
	} {
		status, response := post(s, test.path, test.body)
		c.Check(status, qt.Equals, test.status, qt.Commentf("%s %s", test.path, test.body))
		if strings.HasSuffix(test.want, ".*") {
			c.Check(response, qt.Matches, test.want)
		} else {
			c.Check(response, qt.Equals, test.want)
		}
	}
}

// Guards against faults that /fault does not set, and against calls that are not
// counted.
func TestFaultControl(t *testing.T) {
	c := qt.New(t)
	s := New(memstore.New(memstore.Options{}))
	status, _ := post(s, "/fault", `{"down":true}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	status, response := post(s, "/v3/kv/range", `{"key":"YQ=="}`)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response, qt.Contains, "etcdserver: no leader")
	post(s, "/fault", `{"down":false,"reads_per_second":1}`)
	limited := 0
	for range 5 {
		if status, _ := post(s, "/v3/kv/range", `{"key":"YQ=="}`); status == http.StatusTooManyRequests {
			limited++
		}
	}
	c.Assert(limited >= 3, qt.IsTrue)
	c.Assert(s.Controls.Counts()[faultstore.Read], qt.Equals, int64(6))
	post(s, "/fault", `{"lose_answers":1}`)
	c.Assert(func() { post(s, "/v3/kv/txn", `{"success":[{"request_put":{"key":"YQ=="}}]}`) }, qt.PanicMatches, "net/http: abort Handler")
	c.Assert(s.Store.Revision(), qt.Equals, int64(2))
}
