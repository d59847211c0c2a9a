package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The results of a case, which are the exit statuses of its script.
const (
	Held  = 0 // the rule held
	Broke = 1 // the rule was broken
	Unfit = 2 // the case could not run
)

// Main runs the test of a case and exits with its result. The arguments of the process are the repository and the
// folder of the case, where the record is written. trouble is false if the environment has TROUBLE=0. All processes
// that the test has started are ended.
func Main(test func(d *Deployment, trouble bool) (int, error)) {
	root, folder := os.Args[1], os.Args[2]
	record, err := NewRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unfit)
	}
	deployment := JavaGuild(root, record)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		deployment.Close()
		os.Exit(Unfit)
	}()
	result, err := test(deployment, os.Getenv("TROUBLE") != "0")
	deployment.Close()
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = Unfit
	}
	os.Exit(result)
}
