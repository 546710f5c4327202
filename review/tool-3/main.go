// Program rig-3 runs the scripted cases of the third review. It starts the project's
// daemons as separate processes on loopback addresses.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*rig){
		"service":   caseService,
		"silent":    caseSilent,
		"forgotten": caseForgotten,
		"answers":   caseAnswers,
		"storm":     caseStorm,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](newRig(os.Args[2]))
}
