package engine

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// parseEvent checks the JSON text of an event and reads its model field. last is
// the model of the previous event; it is returned again if it has not changed,
// without another allocation.
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

// decodeEvent reads any event that encoding/json accepts.
func decodeEvent(data []byte) (Event, error) {
	var head struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Event{}, errors.Mark(errors.Wrap(err, "decode engine event"), ErrResultUnknown)
	}
	return Event{Payload: bytes.Clone(data), Model: head.Model}, nil
}

// modelKey is the field that names the adapter.
var modelKey = []byte("model")

// plainModel returns the value of the top-level field "model" of a valid JSON
// object. It reports false if the text is not valid, if the field is missing or
// repeated, or if a key or the value needs decoding. An event per generated
// token makes a full decode too expensive.
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
// data[start]. plain is false if the string has escapes or bytes beyond ASCII.
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

func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\t' || data[i] == '\n' || data[i] == '\r') {
		i++
	}
	return i
}
