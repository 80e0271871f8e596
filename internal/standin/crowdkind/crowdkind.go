// Package crowdkind has the kinds of crowds that a listener must endure.
package crowdkind

import "egretproxy/internal/standin/crowd"

const (
	mib = 1 << 20
	// manyCallers are almost as many connections as the processes of the tests have
	// descriptors for.
	manyCallers = 480
	fewCallers  = 200
	// endlessCallers send bodies of endlessBody each.
	endlessCallers = 100
	endlessBody    = 64 * mib
	// longestBody is the limit of callers' bodies.
	longestBody = 4 * mib
	// longestHead is just within the limit of headers, endlessHead above it.
	longestHead  = 60 << 10
	endlessHead  = mib
	frameCallers = 20
	// longFrame is just within the limit of the codec.
	longFrame = 60 * mib
	// wholeFrame is just within the limit of processes with little memory.
	wholeFrame = 24*mib - 1<<10
)

// Kind is a number of callers that all send the same.
type Kind struct {
	Name    string
	Callers int
	Request crowd.Request
}

// Bodies are crowds that send bodies to an HTTP listener: whole, piece by piece and in
// chunks, most of which stop just short of their end, and far over any limit. head is as
// in crowd.Request.
func Bodies(head string) []Kind {
	return []Kind{
		{"whole", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody}},
		{"in pieces", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, Piecewise: true}},
		{"short", manyCallers, crowd.Request{Head: head, BodyBytes: longestHead}},
		{"large chunks", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, ChunkBytes: mib}},
		{"small chunks", manyCallers, crowd.Request{Head: head, BodyBytes: mib, ChunkBytes: 1}},
		{"over the limit announced", endlessCallers, crowd.Request{Head: head, BodyBytes: endlessBody}},
		{"over the limit in chunks", fewCallers, crowd.Request{Head: head, BodyBytes: 4 * longestBody, ChunkBytes: mib}},
	}
}

// WholeBodies are crowds that send requests of legal size, all of them whole, which
// targets run.
func WholeBodies(head string) []Kind {
	return []Kind{
		{"all whole", manyCallers, crowd.Request{Head: head, BodyBytes: longestBody, Whole: true}},
		{"all whole, 1 MiB", manyCallers, crowd.Request{Head: head, BodyBytes: mib, Whole: true}},
		{"all whole, short", manyCallers, crowd.Request{Head: head, BodyBytes: longestHead, Whole: true}},
	}
}

// OddBodies are crowds whose bodies have an extension of a chunk or a trailer without end,
// that ask before they send, or that send more behind a request.
func OddBodies(head string) []Kind {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return []Kind{
		{"extensions", manyCallers, crowd.Request{Head: head + chunked + "1;", HeadBytes: endlessHead}},
		{"trailers", manyCallers, crowd.Request{Head: head + chunked + "0\r\n", HeadBytes: endlessHead}},
		{"chunk length", manyCallers, crowd.Request{Head: head + chunked + "0", HeadBytes: endlessHead}},
		{"expectation", manyCallers, crowd.Request{Head: head + "Expect: 100-continue\r\n", BodyBytes: longestBody}},
		{"behind a request", manyCallers, crowd.Request{Head: head + "Content-Length: 10000\r\n\r\n", HeadBytes: endlessHead}},
	}
}

// Frames are crowds that send frames to a listener for calls between processes.
func Frames() []Kind {
	return []Kind{
		{"long", frameCallers, crowd.Request{FrameBytes: longFrame}},
		{"in pieces", fewCallers, crowd.Request{FrameBytes: longestBody, Piecewise: true}},
		{"short", manyCallers, crowd.Request{FrameBytes: longestHead}},
		{"over the limit", endlessCallers, crowd.Request{FrameBytes: endlessBody + mib}},
		{"all whole", frameCallers, crowd.Request{FrameBytes: wholeFrame, Whole: true}},
	}
}
