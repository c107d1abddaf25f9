package quorum_test

import (
	"fmt"
	"time"

	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/quorum"
)

func ExampleNode() {
	start := time.Unix(0, 0)
	head := chain.NewRef(1, 1, "hash", []string{"a", "b", "c"}, "")
	view := quorum.NewView(head, chain.Ref{})
	node := quorum.NewNode("a", quorum.DefaultTiming())
	node.Learn(view, start)
	fmt.Println(node.ServeState(start.Add(time.Second)))

	// Nobody reaches the service any more, but a majority holds the same view.
	later := start.Add(time.Minute)
	fmt.Println(node.ServeState(later))
	node.RecordAck("b", view.Terms(), later, time.Time{})
	fmt.Println(node.ServeState(later))
	// Output:
	// fresh
	// stale
	// quorum
}
