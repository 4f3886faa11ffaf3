package etcdgw

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// int64String is an int64 that the gateway encodes as a JSON string. A JSON number is
// accepted as well.
type int64String int64

// MarshalJSON implements json.Marshaler.
func (v int64String) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(v), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *int64String) UnmarshalJSON(data []byte) error {
	if len(data) >= 2 && data[0] == '"' && data[len(data)-1] == '"' {
		data = data[1 : len(data)-1]
	}
	parsed, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return fmt.Errorf("invalid int64 %q", data)
	}
	*v = int64String(parsed)
	return nil
}

type header struct {
	Revision int64String `json:"revision"`
}

// keyValue is an entry of the store. Key and Value are base64-encoded in JSON.
type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value"`
	ModRevision int64String `json:"mod_revision"`
	Lease       int64String `json:"lease"`
}

func (kv keyValue) entry() store.Entry {
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value,
		ModRevision: int64(kv.ModRevision), Lease: store.LeaseID(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte      `json:"key"`
	RangeEnd []byte      `json:"range_end,omitempty"`
	Limit    int64String `json:"limit,omitempty"`
	Revision int64String `json:"revision,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
	More   bool       `json:"more"`
}

type compare struct {
	Result      string      `json:"result"`
	Target      string      `json:"target"`
	Key         []byte      `json:"key"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRangeRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put         *putRequest         `json:"request_put,omitempty"`
	DeleteRange *deleteRangeRequest `json:"request_delete_range,omitempty"`
	Range       *rangeRequest       `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

type leaseRequest struct {
	ID  int64String `json:"ID,omitempty"`
	TTL int64String `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID  int64String `json:"ID"`
	TTL int64String `json:"TTL"`
}

type keepAliveResponse struct {
	Result *leaseResponse `json:"result"`
	Error  *streamError   `json:"error"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            []byte      `json:"key"`
	RangeEnd       []byte      `json:"range_end"`
	StartRevision  int64String `json:"start_revision"`
	ProgressNotify bool        `json:"progress_notify"`
}

type watchMessage struct {
	Result *watchResponse `json:"result"`
	Error  *streamError   `json:"error"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision int64String  `json:"compact_revision"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

// streamError is an error in a streamed response. The name of the field of the code
// depends on the gateway's version.
type streamError struct {
	Code     int    `json:"code"`
	GRPCCode int    `json:"grpc_code"`
	Message  string `json:"message"`
}

func (e *streamError) asError() error {
	return &gatewayError{Code: max(e.Code, e.GRPCCode), Message: e.Message}
}

// prefixRange returns the key and range end that select the keys with a prefix. A zero
// byte as range end selects all keys from key on.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for len(end) > 0 {
		if end[len(end)-1]++; end[len(end)-1] != 0 {
			return []byte(prefix), end
		}
		end = end[:len(end)-1]
	}
	return []byte(prefix), []byte{0}
}

var _ json.Unmarshaler = (*int64String)(nil)
