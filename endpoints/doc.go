// Package endpoints chooses the addresses of instances that a client should use.
//
// A client asks an instance, and chooses each address of the response with the same probability.
// An address that is repeated in a response therefore has a higher weight. The entries of a
// response are of three kinds:
//
//   - Main entries: the serving instances of the client's hall, repeated by weight. If few of the
//     hall serve, those of the region are added. If none of the region serves, those of the other
//     regions take their place.
//   - The hall spare: one entry of another hall, for clients that lose their hall.
//   - The region spare: one entry of another region, for clients that lose their region.
//
// The weight of an instance is its capacity, in requests per second, or a quarter of it while the
// instance is overloaded. Instances of unknown capacity count as the average of the known ones. An
// instance is overloaded while its own timers fire late, since its processor has a queue; an
// OverloadDetector determines that.
//
// If the weights are small multiples of a common unit, each response contains each instance in
// proportion to its weight. Otherwise a response is a systematic sample (W. G. Madow and L. H. Madow,
// "On the theory of systematic sampling", Annals of Mathematical Statistics 15(1), 1944): the number
// of entries of an instance is its quota rounded up or down, and on average the quota itself. The
// offset of the sample advances slowly with time, so that a client keeps most of its connections
// when it gets the next response.
//
// An instance is isolated if it is cut off from everything outside its hall, see package reach. It then
// directs most clients to the instances of the other halls, since a client that reaches these is served
// better there.
//
// The package performs no I/O and reads no clock: the time is passed in as an argument.
package endpoints
