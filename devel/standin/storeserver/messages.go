package storeserver

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// bytesValue is a bytes field of the JSON gateway, in base64. Like the gateway of
// etcd it accepts the standard and the URL alphabet, with or without padding.
type bytesValue []byte

// UnmarshalJSON implements json.Unmarshaler.
func (b *bytesValue) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	text = strings.TrimRight(text, "=")
	encoding := base64.RawStdEncoding
	if strings.ContainsAny(text, "-_") {
		encoding = base64.RawURLEncoding
	}
	decoded, err := encoding.DecodeString(text)
	if err != nil {
		return err
	}
	*b = decoded
	return nil
}

// int64Value is an int64 field of the JSON gateway: a string in responses, a string
// or a number in requests.
type int64Value int64

// UnmarshalJSON implements json.Unmarshaler.
func (v *int64Value) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("invalid int64 %q", text)
	}
	*v = int64Value(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (v int64Value) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(v), 10) + `"`), nil
}

type header struct {
	Revision int64Value `json:"revision,omitempty"`
}

type keyValue struct {
	Key         bytesValue `json:"key"`
	Value       bytesValue `json:"value,omitempty"`
	ModRevision int64Value `json:"mod_revision,omitempty"`
	Lease       int64Value `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key      bytesValue `json:"key"`
	RangeEnd bytesValue `json:"range_end"`
	Limit    int64Value `json:"limit"`
	Revision int64Value `json:"revision"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64Value `json:"count,omitempty"`
}

type compare struct {
	Result      string     `json:"result"`
	Target      string     `json:"target"`
	Key         bytesValue `json:"key"`
	ModRevision int64Value `json:"mod_revision"`
}

type putRequest struct {
	Key   bytesValue `json:"key"`
	Value bytesValue `json:"value"`
	Lease int64Value `json:"lease"`
}

type deleteRangeRequest struct {
	Key      bytesValue `json:"key"`
	RangeEnd bytesValue `json:"range_end"`
}

type requestOp struct {
	Put         *putRequest         `json:"request_put"`
	DeleteRange *deleteRangeRequest `json:"request_delete_range"`
	Range       *rangeRequest       `json:"request_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type responseOp struct {
	Put         *struct{}      `json:"response_put,omitempty"`
	DeleteRange *struct{}      `json:"response_delete_range,omitempty"`
	Range       *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64Value `json:"ID"`
	TTL int64Value `json:"TTL"`
}

type leaseResponse struct {
	Header header     `json:"header"`
	ID     int64Value `json:"ID,omitempty"`
	TTL    int64Value `json:"TTL,omitempty"`
}

type watchRequest struct {
	Create *watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            bytesValue `json:"key"`
	RangeEnd       bytesValue `json:"range_end"`
	StartRevision  int64Value `json:"start_revision"`
	ProgressNotify bool       `json:"progress_notify"`
}

type event struct {
	Type string   `json:"type,omitempty"` // "DELETE"; a put has no type
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header     `json:"header"`
	Created         bool       `json:"created,omitempty"`
	Canceled        bool       `json:"canceled,omitempty"`
	CompactRevision int64Value `json:"compact_revision,omitempty"`
	Events          []event    `json:"events,omitempty"`
}

// streamedResponse wraps each message of a streaming response.
type streamedResponse struct {
	Result any `json:"result"`
}

type errorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
