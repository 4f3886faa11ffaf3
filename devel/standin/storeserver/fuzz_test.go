package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// Guards against request bodies that cause a panic or a status other than 200 and
// 4xx.
func FuzzRequests(f *testing.F) {
	paths := []string{"/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"}
	for i, body := range []string{
		`{"key":"YQ==","range_end":"Yg==","limit":"2"}`,
		`{"compare":[{"key":"YQ","target":"MOD","result":"EQUAL","mod_revision":0}],` +
			`"success":[{"request_put":{"key":"YQ==","value":"_w"}}],"failure":[{"request_range":{"key":"YQ=="}}]}`,
		`{"TTL":"5"}`, `{"ID":"1"}`, `{"ID":1}`,
		`{"success":[{"request_delete_range":{"key":"YQ=="}}]}`, `{"compare":[{}]}`, `{"key":"AA==","range_end":"AA=="}`, `{`,
	} {
		f.Add(uint8(i), body)
	}
	f.Fuzz(func(t *testing.T, path uint8, body string) {
		server := New(memstore.New(memstore.Options{}))
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], strings.NewReader(body))
		server.ServeHTTP(w, r)
		if w.Code != http.StatusOK && w.Code/100 != 4 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
