// Command review2 runs the scripts of the second review. It starts the project's own
// programs on loopback addresses and judges what callers and upstreams see.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// names holds the platform's names, which stand in names.json.
var names struct {
	AttemptID     string `json:"attempt_id"`
	Remaining     string `json:"remaining"`
	Signature     string `json:"signature"`
	NotRun        string `json:"not_run"`
	Expected      string `json:"expected"`
	Instance      string `json:"instance"`
	Authorization string `json:"authorization"`
	HeartbeatPath string `json:"heartbeat_path"`
	Heartbeat     string `json:"heartbeat"`
	Document      string `json:"document"`
}

// cases holds the scripts by their number. Each returns what broke the rule, one line for
// each violation.
var cases = map[string]func(root, dir string, rec *record, trouble bool) (broken []string, err error){
	"6":  storeSilentAtStop,
	"7":  spoiltSignature,
	"8":  spoiltHeaderName,
	"9":  failedAfterRun,
	"10": forgottenDeparture,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: review2 NUMBER, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1]))
}

func run(number string) int {
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	raw, err := os.ReadFile(filepath.Join(root, "review", "tool-2", "names.json"))
	if err != nil {
		return fail(err)
	}
	if err := json.Unmarshal(raw, &names); err != nil {
		return fail(err)
	}
	out, err := os.Create(filepath.Join(root, "review", number, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	rec := newRecord(out)
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[number](root, dir, rec, trouble)
	if err != nil {
		rec.line("the case could not run: %v", err)
		return fail(err)
	}
	for _, line := range broken {
		rec.line("BROKEN: %s", line)
	}
	verdict, code := "the rule held", exitHeld
	if len(broken) > 0 {
		verdict, code = fmt.Sprintf("the rule was broken %d times", len(broken)), exitBroken
	}
	rec.line("%s (trouble: %v)", verdict, trouble)
	fmt.Printf("case %s: %s (trouble: %v)\n", number, verdict, trouble)
	return code
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "review2:", err)
	return exitNotRun
}
