package engine

import (
	"encoding/json"
	"testing"
)

var eventSeeds = []string{
	`{"id":"gen","object":"text_completion","created":1700000000,"model":"tokachi/summary@2","choices":[{"index":0,"text":"word ","finish_reason":null}]}`,
	`{"choices":[{"model":"inner"}],"model":"outer"}`,
	`{"model":"a","model":"b"}`,
	`{"Model":"a","model":"b"}`,
	`{"model":"a","MODEL":"b"}`,
	`{"mod\u0065l":"a"}`,
	`{"model":"a\"b"}`,
	"{\"model\":\"\xff\"}",
	`{"model":null}`,
	`{"model":{"model":"x"}}`,
	`["model",{"model":"x"}]`,
	`{"a":"model","b":":"}`,
	` { "model" : "a" , "x" : [ "model" ] } `,
	`{"model":"a"`,
	`null`,
	``,
}

// Guards against a fast parser that reads another model name than encoding/json does,
// which could hide that the wrong adapter produced an answer.
func FuzzParseEvent(f *testing.F) {
	for _, s := range eventSeeds {
		f.Add([]byte(s), "a")
	}
	f.Fuzz(func(t *testing.T, data []byte, last string) {
		var want struct {
			Model string `json:"model"`
		}
		err := json.Unmarshal(data, &want)
		got, gotErr := parseEvent(data, last)
		if (err == nil) != (gotErr == nil) {
			t.Fatalf("error %v, encoding/json returns %v", gotErr, err)
		}
		if err == nil && got.Model != want.Model {
			t.Fatalf("model %q, encoding/json reads %q", got.Model, want.Model)
		}
	})
}

func BenchmarkParseEvent(b *testing.B) {
	data := []byte(eventSeeds[0])
	for _, k := range []struct {
		name  string
		parse func() (Event, error)
	}{
		{"decoded", func() (Event, error) { return decodeEvent(data) }},
		{"scanned", func() (Event, error) { return parseEvent(data, "tokachi/summary@2") }},
	} {
		b.Run(k.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := k.parse(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
