// Package listen opens several TCP listeners, or none if one of them fails, and keeps them accepting
// connections after errors.
package listen

import (
	"errors"
	"net"
)

// All opens a TCP listener on each address and returns the listeners in the order of the addresses.
// If any of them can't be opened, All closes the others and returns the errors of all that failed.
func All(addrs ...string) ([]net.Listener, error) {
	var errs []error
	var open []net.Listener
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		open = append(open, ln)
	}
	if len(errs) == 0 {
		return open, nil
	}
	for _, ln := range open {
		_ = ln.Close()
	}
	return nil, errors.Join(errs...)
}
