package retry_test

import (
	"fmt"

	"github.com/rainford/rainford/retry"
)

func ExampleClassify() {
	refused := retry.Evidence{Connected: true, Answered: true, Refused: true}
	lost := retry.Evidence{Connected: true}
	fmt.Println(retry.Classify(refused), retry.Allowed(retry.Classify(refused), false))
	fmt.Println(retry.Classify(lost), retry.Allowed(retry.Classify(lost), false))
	// Output:
	// not-run true
	// unknown false
}
