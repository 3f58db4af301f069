package e2e

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fescuecourse/fescuecourse/standin/rawanswer"
)

// content is what a sound answer of a server holds, apart from its framing.
type content struct {
	// fields are the header lines that identify the answer, each with its line end.
	fields, body string
	// part is a part of the body that a caller could take for a whole one.
	part string
	// marked is true if the body itself marks its end, so that what follows it does not count.
	marked bool
}

// answerForm is a form of answers that a server may send.
type answerForm struct {
	name  string
	build func(c content) rawanswer.Answer
}

// head returns a status line and the fields of an answer, with more lines after them. No client
// uses the connection for another request.
func (c content) head(status string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + c.fields + strings.Join(lines, "")
}

func (c content) length() string { return "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n" }

// whole returns an answer with a length.
func (c content) whole(status string, lines ...string) string {
	return c.head(status, append(lines, c.length())...) + "\r\n" + c.body
}

// chunked returns the body in one chunk, followed by the lines of the trailer.
func (c content) chunked(trailer string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(c.body), c.body, trailer)
}

// sent returns a form whose text is sent once the request has been read.
func sent(name string, end rawanswer.End, text func(c content) string) answerForm {
	return answerForm{name: name, build: func(c content) rawanswer.Answer { return rawanswer.Answer{Text: text(c), End: end} }}
}

// early returns a form whose text is sent while the request is still being written.
func early(name string, end rawanswer.End, text func(c content) string) answerForm {
	return answerForm{name: name, build: func(c content) rawanswer.Answer {
		return rawanswer.Answer{Text: text(c), End: end, Early: true}
	}}
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// soundForms must reach their callers. They show that nothing else in the broken ones is refused.
var soundForms = []answerForm{
	sent("length", rawanswer.Stay, func(c content) string { return c.whole("200 OK") }),
	sent("chunks", rawanswer.Stay, func(c content) string { return c.head("200 OK", chunkedLine) + "\r\n" + c.chunked("") }),
	sent("trailer", rawanswer.Stay, func(c content) string { return c.head("200 OK", chunkedLine) + "\r\n" + c.chunked("Good: v\r\n") }),
	sent("close", rawanswer.Close, func(c content) string { return c.head("200 OK") + "\r\n" + c.body }),
	sent("informational", rawanswer.Stay, func(c content) string {
		return "HTTP/1.1 103 Early Hints\r\nGood: v\r\n\r\n" + c.whole("200 OK")
	}),
}

// unframedForms send a part without a length or chunks, and end while the request is being
// written.
var unframedForms = []answerForm{
	early("reset", rawanswer.Reset, func(c content) string { return c.head("200 OK") + "\r\n" + c.part }),
	early("close with the request unread", rawanswer.Close, func(c content) string { return c.head("200 OK") + "\r\n" + c.part }),
	early("reset, HTTP/1.0", rawanswer.Reset, func(c content) string {
		return strings.Replace(c.head("200 OK"), "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + c.part
	}),
}

// statusForms have a status that is none, or one that a request cannot have asked for.
var statusForms = func() []answerForm {
	var forms []answerForm
	for _, status := range []string{"000 None", "099 None", "+99 None", "101 Switching Protocols", "600 None", "999 None"} {
		forms = append(forms,
			sent(status, rawanswer.Stay, func(c content) string { return c.whole(status) }),
			sent(status+" without a body, then a sound answer", rawanswer.Stay, func(c content) string {
				return c.head(status, "Content-Length: 0\r\n") + "\r\n" + c.whole("200 OK")
			}),
		)
	}
	return forms
}()

// fieldForms have a field whose name holds a byte that names cannot hold.
var fieldForms = func() []answerForm {
	var forms []answerForm
	for _, line := range []string{"Bad Name: v", "Bad : v", "Bad\x01Name: v", "Bad\tName: v", "Bad\x7f: v", "Bad\x00: v", "Bad\xe4: v", ": v", "Good: a\x00b"} {
		forms = append(forms, sent(strconv.Quote(line), rawanswer.Stay, func(c content) string { return c.whole("200 OK", line+"\r\n") }))
	}
	return append(forms,
		sent("length with a blank", rawanswer.Close, func(c content) string {
			return c.head("200 OK", strings.Replace(c.length(), ":", " :", 1)) + "\r\n" + c.body
		}),
		sent("chunks with a blank", rawanswer.Close, func(c content) string {
			return c.head("200 OK", strings.Replace(chunkedLine, ":", " :", 1)) + "\r\n" + c.chunked("")
		}),
		sent("both with a blank, whole JSON", rawanswer.Close, func(c content) string {
			return c.head("200 OK", "Content-Length : 4\r\n", "Transfer-Encoding : chunked\r\n") + "\r\n" + c.body
		}),
		sent("informational", rawanswer.Stay, func(c content) string {
			return "HTTP/1.1 103 Early Hints\r\nBad Name: v\r\n\r\n" + c.whole("200 OK")
		}),
		sent("refusal", rawanswer.Stay, func(c content) string {
			return c.whole("503 Service Unavailable", "X-Fescuecourse-Not-Run: 1\r\n", "Bad Name: v\r\n")
		}),
	)
}()

// framingForms have such a field after the body, or chunks that net/http does not read as such.
var framingForms = []answerForm{
	sent("chunks of HTTP/1.0", rawanswer.Close, func(c content) string {
		return strings.Replace(c.head("200 OK", chunkedLine), "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + c.chunked("")
	}),
	sent("trailer", rawanswer.Stay, func(c content) string {
		return c.head("200 OK", chunkedLine) + "\r\n" + c.chunked("Bad Name: v\r\n")
	}),
}

// cutHeadForms end within their head.
var cutHeadForms = func() []answerForm {
	cuts := []struct {
		name string
		text func(c content) string
	}{
		{"after the version", func(content) string { return "HTTP/1.1 " }},
		{"after the status line", func(content) string { return "HTTP/1.1 200 OK\r\n" }},
		{"within a name", func(c content) string { return c.head("200 OK", c.length(), "Na") }},
		{"within a value", func(c content) string { return c.head("200 OK", c.length(), "Name: va") }},
		{"after a line", func(c content) string { return c.head("200 OK", c.length()) }},
		{"before the last line end", func(c content) string { return c.head("200 OK", c.length()) + "\r" }},
	}
	var forms []answerForm
	for _, cut := range cuts {
		forms = append(forms,
			sent(cut.name+", close", rawanswer.Close, cut.text),
			sent(cut.name+", reset", rawanswer.Reset, cut.text),
			early(cut.name+", reset during the request", rawanswer.Reset, cut.text),
		)
	}
	return forms
}()
