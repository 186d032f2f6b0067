package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(l *lab) (int, error){
	"extra-answer": extraAnswer,
	"own-503":      own503,
	"foreign-row":  foreignRow,
	"header-bytes": headerBytes,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE DIR")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		<-stop
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(l)
	if err != nil {
		l.rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	l.rec.note("rule broken %d times", broken)
	fmt.Fprintf(os.Stdout, "rule broken %d times\n", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
