package engine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// parseEvent validates the JSON text of an event and extracts its model field. last is
// the model of the previous event. If the model is the same, the returned event reuses
// that string to save an allocation.
func parseEvent(data []byte, last string) (Event, error) {
	model, ok := plainModel(data)
	if !ok {
		return decodeEvent(data)
	}
	if string(model) != last {
		last = string(model)
	}
	return Event{Payload: bytes.Clone(data), Model: last}, nil
}

// decodeEvent extracts the model field with encoding/json. It handles the events that
// plainModel does not.
func decodeEvent(data []byte) (Event, error) {
	var head struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Event{}, errors.Mark(errors.Wrap(err, "decode engine event"), ErrResultUnknown)
	}
	return Event{Payload: bytes.Clone(data), Model: head.Model}, nil
}

// modelKey is the JSON key of the field that names the adapter.
var modelKey = []byte("model")

// plainModel returns the value of the top-level field "model" of a JSON object without
// decoding the object. It reports false if the text is invalid, if the field is missing
// or repeated, or if a key or the value needs decoding. A full decode would be too
// expensive, because there is one event for each generated token.
func plainModel(data []byte) ([]byte, bool) {
	if !json.Valid(data) {
		return nil, false
	}
	var model []byte
	found := false
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			end, plain := stringEnd(data, i)
			key := data[i+1 : end]
			i = end
			colon := skipSpace(data, end+1)
			if depth != 1 || colon >= len(data) || data[colon] != ':' {
				continue
			}
			if !plain {
				return nil, false
			}
			if !bytes.EqualFold(key, modelKey) {
				continue
			}
			start := skipSpace(data, colon+1)
			if found || !bytes.Equal(key, modelKey) || data[start] != '"' {
				return nil, false
			}
			end, plain = stringEnd(data, start)
			if !plain {
				return nil, false
			}
			model, found, i = data[start+1:end], true, end
		}
	}
	return model, found
}

// stringEnd returns the index of the closing quote of the string that starts at
// data[start]. plain is false if the string contains escapes or non-ASCII bytes.
func stringEnd(data []byte, start int) (end int, plain bool) {
	plain = true
	for end = start + 1; data[end] != '"'; end++ {
		if data[end] == '\\' {
			plain = false
			end++
			continue
		}
		if data[end] >= 0x80 {
			plain = false
		}
	}
	return end, plain
}

// skipSpace returns the index of the first byte from i on that is not JSON whitespace.
func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\t' || data[i] == '\n' || data[i] == '\r') {
		i++
	}
	return i
}
