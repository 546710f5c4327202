// Command case runs one case of the review against the project's program. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(folder string) (broken bool){}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		return 2
	}
	defer func() {
		switch e := recover().(type) {
		case nil:
		case errNoRun:
			fmt.Fprintln(os.Stderr, "the case could not run:", e)
			code = 2
		default:
			panic(e)
		}
	}()
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case could not run: it took too long")
		os.Exit(2) // The daemons end with this process.
	})
	if cases[os.Args[1]](os.Args[2]) {
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
