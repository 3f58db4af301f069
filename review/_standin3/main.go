package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest bounds the time of a case.
const longest = 112 * time.Second

// cases maps the name of a case to the function that plays it with or without its disruption. It
// returns the breaches that were seen, or an error if the case could not run.
var cases = map[string]func(b *bed, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	b, err := newBed(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	go b.endEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, disruption %v", name, trouble)
	breaches, err := cases[name](b, trouble)
	switch {
	case err != nil:
		b.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(breaches) > 0:
		for _, text := range breaches {
			b.note("BROKEN %s", text)
			fmt.Println("broken:", text)
		}
		return exitBroken
	}
	b.note("held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends the case without a result when it is asked to, or takes too long.
func (b *bed) endEarly() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, os.Interrupt, syscall.SIGTERM)
	select {
	case <-asked:
	case <-time.After(longest):
	}
	b.note("ended early")
	b.close()
	os.Exit(exitNotRun)
}
