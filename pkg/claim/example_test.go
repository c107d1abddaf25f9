package claim_test

import (
	"context"
	"fmt"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/claim"
)

func ExampleClaims() {
	ctx := context.Background()
	kv := &faultyStore{kv: stand.NewKV()}
	first, second := claim.New(kv, "entry-1"), claim.New(kv, "entry-2")
	fingerprint := claim.Fingerprint("POST", "/bookings", []byte("boat 8"))

	acquired, _, err := first.Acquire(ctx, "rowers", "dawn", fingerprint)
	fmt.Println(err)
	err = acquired.Complete(ctx, claim.NewOutcome(201, nil, []byte("booked")))
	fmt.Println(err)

	_, record, err := second.Acquire(ctx, "rowers", "dawn", fingerprint)
	fmt.Println(err, record.Outcome().Status(), string(record.Outcome().Body()))
	// Output:
	// <nil>
	// <nil>
	// the idempotency key is claimed 201 booked
}
