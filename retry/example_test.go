package retry_test

import (
	"fmt"

	"github.com/rainford/rainford/retry"
)

func ExampleJudge() {
	refused := retry.Evidence{Connected: true, Answered: true, Refusal: true}
	lost := retry.Evidence{Connected: true}
	fmt.Println(retry.Judge(refused), retry.May(retry.Judge(refused), false))
	fmt.Println(retry.Judge(lost), retry.May(retry.Judge(lost), false))
	// Output:
	// not-run true
	// unknown false
}
