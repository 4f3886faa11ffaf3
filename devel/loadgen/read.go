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

// errBroken means that a stream told its break or ended without its end mark.
var errBroken = errors.New("the stream broke")

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// reader fills in a try from its HTTP answer.
type reader struct {
	try   *history.Try
	clock func() time.Duration
	text  strings.Builder
	last  time.Duration
}

// read reads the whole answer. A returned error means that the answer is broken.
func (r *reader) read(resp *http.Response) error {
	r.try.Status = resp.StatusCode
	r.try.RequestID = resp.Header.Get("X-Request-Id")
	r.try.Verdict = resp.Header.Get("X-Verdict")
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	var err error
	if media == "text/event-stream" {
		err = r.readStream(resp.Body)
	} else {
		err = r.readWhole(media, resp.Body)
	}
	if trailer := resp.Trailer.Get("X-Verdict"); trailer != "" {
		r.try.Verdict = trailer
	}
	r.finish()
	r.try.Complete = err == nil
	return err
}

// finish takes marker and hash from the text.
func (r *reader) finish() {
	text := r.text.String()
	_, rest, found := strings.Cut(text, engine.EchoOpen)
	if marker, _, closed := strings.Cut(rest, "]]"); found && closed {
		r.try.Echo = marker
	}
	if r.try.Tokens > 0 {
		r.try.Hash = xxhash.Sum64String(text)
	}
}

// streamChunk is the part of a chunk or of an error event that is read.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *verdict.APIError `json:"error"`
}

func (r *reader) readStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	ended := false
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		r.try.Bytes += int64(len(scanner.Bytes()) + 1)
		switch {
		case !found:
		case data == "[DONE]":
			ended = true
		default:
			if err := r.chunk(data); err != nil {
				return err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if !ended {
		return errBroken
	}
	return nil
}

func (r *reader) chunk(data string) error {
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		r.try.Malformed = true
		return err
	}
	if c.Error != nil {
		r.try.Code = string(c.Error.Code)
		return errBroken
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			r.token(choice.Delta.Content)
		}
	}
	return nil
}

// token notes a token of a stream.
func (r *reader) token(text string) {
	now := r.clock()
	if r.try.Tokens == 0 {
		r.try.FirstToken = now
	} else {
		r.try.Gaps = append(r.try.Gaps, now-r.last)
	}
	r.last = now
	r.try.Tokens++
	r.text.WriteString(text)
}

// wholeAnswer is the part of a whole answer that is read.
type wholeAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Code verdict.Code `json:"code"`
}

func (r *reader) readWhole(media string, body io.Reader) error {
	text, err := io.ReadAll(body)
	r.try.Bytes = int64(len(text))
	if len(text) > 0 {
		r.try.FirstToken = r.clock()
	}
	if err != nil {
		return err
	}
	var answer wholeAnswer
	if strings.Contains(media, "json") {
		r.try.Malformed = json.Unmarshal(text, &answer) != nil
	}
	r.try.Code = string(answer.Code)
	if len(answer.Choices) > 0 {
		content := answer.Choices[0].Message.Content
		r.text.WriteString(content)
		// Each token of the stand-in but the first begins with a space.
		r.try.Tokens = 1 + strings.Count(content, " ")
		return nil
	}
	r.text.Write(text)
	return nil
}
