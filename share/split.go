package share

// Split returns the share of total that the holder with the given index gets. The
// shares of all holders add up to total and differ by at most one. No share
// decreases when total increases. Offset rotates which holders get the remainder.
//
// Split panics if holders is not positive or index is not in [0, holders).
func Split(total, holders, index, offset int) int {
	if holders <= 0 {
		panic("share: holders must be positive")
	}
	if index < 0 || index >= holders {
		panic("share: index out of range")
	}
	if total <= 0 {
		return 0
	}
	share := total / holders
	rest := total % holders
	if remainderRank(holders, index, offset) < rest {
		share++
	}
	return share
}

// remainderRank returns the rank of a holder in the order in which the remainder is
// handed out. The order steps through the holders by about the golden section, so
// that a few units are spread evenly over any range of holders.
func remainderRank(holders, index, offset int) int {
	step := goldenStep(holders)
	position := positiveMod(index-offset, holders)
	t := 0
	for at := 0; at != position; at = (at + step) % holders {
		t++
	}
	return t
}

// goldenStep returns the largest number up to 0.618 of holders that is coprime to
// holders.
func goldenStep(holders int) int {
	for step := holders * 618 / 1000; step > 1; step-- {
		if gcd(step, holders) == 1 {
			return step
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func positiveMod(n, m int) int {
	return ((n % m) + m) % m
}
