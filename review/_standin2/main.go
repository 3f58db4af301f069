// Command bed runs the scripted cases of the second review: the project's own programs as
// processes, between stand-ins for the platform's store, servers and clients.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

var cases = map[string]func(*bed){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func run(name, folder string) (status int) {
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	rec := &recorder{out: bufio.NewWriter(file), began: time.Now()}
	b := &bed{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec, st: newStore()}
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			rec.log("the case cannot run: %v", c.err)
			fmt.Println("cannot run:", c.err)
			status = 2
		}
		b.stop()
		rec.mu.Lock()
		rec.out.Flush()
		rec.mu.Unlock()
		if os.Getenv("KEEP") != "" {
			fmt.Println("logs in", dir)
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		b.stop()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	rec.log("case %s, trouble %v", name, b.trouble)
	cases[name](b)
	if rec.faults > 0 {
		rec.log("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.log("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
