package route_test

import (
	"fmt"
	"time"

	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/route"
)

func ExampleDecide() {
	cfg, _ := config.Parse("example", []byte(baseConfig))
	rules := route.NewRules(config.NewFirstVersion(cfg, time.Unix(0, 0)), nil)
	loads := map[string]route.Load{
		"e1": route.NewLoad(8, 0, route.Leaving()),
		"e2": route.NewLoad(8, 3),
		"e3": route.NewLoad(8, 8, route.NotReady()),
	}
	decision := route.Decide(rules, loads, route.NewRequest("lm", "a"), 42)
	for _, endpoint := range decision.Endpoints() {
		fmt.Println(endpoint.Name(), decision.Reason())
	}
	// Output:
	// e2 drawn
}
