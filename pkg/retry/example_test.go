package retry_test

import (
	"fmt"

	"github.com/lentilstand/lentilstand/pkg/retry"
)

func ExampleLog() {
	var log retry.Log
	log.Begin("endpoint-1")
	log.SetState(retry.Refused)
	fmt.Println(log.Outcome(), log.MayRetry(false))
	log.Begin("endpoint-2")
	log.SetState(retry.Unknown)
	fmt.Println(log.Outcome(), log.MayRetry(false))
	// Output:
	// not_run true
	// unknown false
}
