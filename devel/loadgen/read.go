package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// errStreamBroken means that a stream had an error event or ended without [DONE].
var errStreamBroken = errors.New("stream has an error event or ended without [DONE]")

// maxLineBytes is the maximum length of one line of a stream.
const maxLineBytes = 1 << 20

// responseReader records an HTTP response in a try.
type responseReader struct {
	try       *history.Try
	clock     func() time.Duration
	text      strings.Builder
	lastToken time.Duration
}

// read reads the whole response. It fails if the response is truncated, or if it is
// a stream that is malformed or reports an error.
func (r *responseReader) read(resp *http.Response) error {
	r.try.Status = resp.StatusCode
	r.try.RequestID = resp.Header.Get("X-Request-Id")
	r.try.Verdict = resp.Header.Get("X-Verdict")
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	var err error
	if media == "text/event-stream" {
		err = r.readStream(resp.Body)
	} else {
		err = r.readBody(media, resp.Body)
	}
	if trailer := resp.Trailer.Get("X-Verdict"); trailer != "" {
		r.try.Verdict = trailer
	}
	r.finish()
	r.try.Complete = err == nil
	return err
}

// finish extracts the marker from the received text and, for a model's response,
// computes the hash of the text.
func (r *responseReader) finish() {
	text := r.text.String()
	_, rest, found := strings.Cut(text, engine.EchoOpen)
	if marker, _, closed := strings.Cut(rest, "]]"); found && closed {
		r.try.Echo = marker
	}
	if r.try.Tokens > 0 {
		r.try.Hash = xxhash.Sum64String(text)
	}
}

// streamChunk holds the fields that are used of a chunk or an error event.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *verdict.APIError `json:"error"`
}

func (r *responseReader) readStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	ended := false
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		r.try.Bytes += int64(len(scanner.Bytes()) + 1)
		switch {
		case !found:
		case data == "[DONE]":
			ended = true
		default:
			if err := r.readChunk(data); err != nil {
				return err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if !ended {
		return errStreamBroken
	}
	return nil
}

func (r *responseReader) readChunk(data string) error {
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		r.try.Malformed = true
		return err
	}
	if c.Error != nil {
		r.try.Code = string(c.Error.Code)
		return errStreamBroken
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			r.addToken(choice.Delta.Content)
		}
	}
	return nil
}

// addToken records a token of a stream and its time.
func (r *responseReader) addToken(text string) {
	now := r.clock()
	if r.try.Tokens == 0 {
		r.try.FirstToken = now
	} else {
		r.try.Gaps = append(r.try.Gaps, now-r.lastToken)
	}
	r.lastToken = now
	r.try.Tokens++
	r.text.WriteString(text)
}

// fullResponse holds the fields that are used of a response that is not streamed.
type fullResponse struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Code verdict.Code `json:"code"`
}

func (r *responseReader) readBody(media string, body io.Reader) error {
	text, err := io.ReadAll(body)
	r.try.Bytes = int64(len(text))
	if len(text) > 0 {
		r.try.FirstToken = r.clock()
	}
	if err != nil {
		return err
	}
	var response fullResponse
	if strings.Contains(media, "json") {
		r.try.Malformed = json.Unmarshal(text, &response) != nil
	}
	r.try.Code = string(response.Code)
	if len(response.Choices) > 0 {
		content := response.Choices[0].Message.Content
		r.text.WriteString(content)
		// Each token of the stand-in engine except the first begins with a space.
		r.try.Tokens = 1 + strings.Count(content, " ")
		return nil
	}
	r.text.Write(text)
	return nil
}
