package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*bed) (int, error){
	"stale-order":    staleOrder,
	"lost-origins":   lostOrigins,
	"changed-path":   changedPath,
	"joined-streams": joinedStreams,
	"in-place":       inPlace,
}

func main() {
	program := flag.String("program", "target/fescued", "`path` of the program")
	record := flag.String("record", "record.txt", "`path` of the record")
	name := flag.String("case", "", "`name` of the case")
	flag.Parse()
	os.Exit(run(*name, *program, *record))
}

func run(name, program, record string) int {
	do := cases[name]
	if do == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	b, err := newBed(program, record, os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "crash")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer b.close()
	ended := make(chan int, 1)
	go func() {
		code, err := do(b)
		if err != nil {
			b.note("the case cannot run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			code = cannotRun
		}
		ended <- code
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-ended:
		b.note("exit code %d", code)
		return code
	case <-signals:
		return cannotRun
	}
}
