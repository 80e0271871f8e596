package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of a synced write:
//
//	magic   4 bytes
//	length  4 bytes, big endian, of the payload
//	sum     4 bytes, CRC-32C of the payload
//	check   4 bytes, CRC-32C of the 12 bytes before
//	payload
//
// A frame is written only after the one before it was synced. An invalid frame
// at the end is therefore a torn write that was never acknowledged, and an
// invalid frame before a valid one is corruption.
const frameHeaderBytes = 16

var (
	magic      = []byte{0xE6, 'E', 'G', 'J'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func encodeFrame(payload []byte) []byte {
	out := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	copy(out, magic)
	binary.BigEndian.PutUint32(out[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(out[12:], crc32.Checksum(out[:12], castagnoli))
	return append(out, payload...)
}

// decodeFrame returns the payload of the frame at the start of data and the
// size of the whole frame in bytes. ok is false if the frame is invalid or
// incomplete.
func decodeFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || !bytes.Equal(data[:4], magic) {
		return nil, 0, false
	}
	if binary.BigEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data[4:]))
	if length > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	payload = data[frameHeaderBytes : frameHeaderBytes+length]
	if binary.BigEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0, false
	}
	return payload, frameHeaderBytes + length, true
}

// hasFrame reports whether data contains a valid frame at any offset.
func hasFrame(data []byte) bool {
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if _, _, ok := decodeFrame(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}
