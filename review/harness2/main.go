// Command harness2 plays the scripts of the second review.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(dir string, trouble bool) int{"evacuation": evacuation, "storm": storm, "behind": behind, "rollout": rolloutCase, "memory": memory}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
