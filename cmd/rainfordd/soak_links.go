//go:build soaklinks

package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/rainford/rainford/internal/standin/link"
)

// With the build tag soaklinks, the fault soak can cut the links of a gateway to targets. The variable
// linkFileVariable names a file with the present cut, in the form that link.ParseCut reads.
const (
	linkFileVariable = "RAINFORD_SOAK_LINKS"
	linkPollInterval = 10 * time.Millisecond
)

func init() {
	path := os.Getenv(linkFileVariable)
	if path == "" {
		return
	}
	l, err := link.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
	targetDialer = l.Dial
	followLinkFile(l, path)
	go func() {
		for {
			time.Sleep(linkPollInterval)
			followLinkFile(l, path)
		}
	}()
}

// lastCut is the content of the file that was last applied.
var lastCut []byte

// followLinkFile applies the cut that a file describes, if it has changed.
func followLinkFile(l *link.Link, path string) {
	raw, err := os.ReadFile(path)
	if err != nil || bytes.Equal(raw, lastCut) {
		return
	}
	lastCut = raw
	mode, affects, err := link.ParseCut(string(raw))
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
	case affects == nil:
		l.Restore()
	default:
		l.Cut(mode, affects)
	}
}
