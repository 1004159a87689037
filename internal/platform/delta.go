package platform

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// minDeltaBytes is the size from which a value is worth a delta.
	minDeltaBytes = 1024
	// minChunkBytes and maxChunkBytes bound the length of a chunk. chunkMask makes chunks some 80 bytes long on average.
	minChunkBytes = 16
	maxChunkBytes = 1024
	chunkMask     = 1<<6 - 1
	// digestBytes is the size of the digests at the start of a delta.
	digestBytes = 8
	// maxValueBytes bounds the value that a delta describes.
	maxValueBytes = 8 << 20
)

var errDeltaBase = errors.New("the delta is to another value")

var errDeltaInvalid = errors.New("the delta is invalid")

// encodeDelta returns the difference from base to target. It starts with the digests of both values. Then parts of base, as an
// offset and a length, alternate with literal bytes, as a length and the bytes.
func encodeDelta(base, target []byte) []byte {
	offsets := map[uint64]int{}
	for at := 0; at < len(base); {
		n := chunkLength(base[at:])
		if h := xxhash.Sum64(base[at : at+n]); offsets[h] == 0 {
			offsets[h] = at + 1
		}
		at += n
	}
	d := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(base))
	d = binary.BigEndian.AppendUint64(d, xxhash.Sum64(target))
	var from, length, literal int
	flush := func(at int) {
		d = binary.AppendUvarint(d, uint64(from))
		d = binary.AppendUvarint(d, uint64(length))
		d = binary.AppendUvarint(d, uint64(at-literal))
		d = append(d, target[literal:at]...)
	}
	for at := 0; at < len(target); {
		n := chunkLength(target[at:])
		chunk := target[at : at+n]
		offset := offsets[xxhash.Sum64(chunk)] - 1
		switch {
		case literal == at && from+length+n <= len(base) && bytes.Equal(base[from+length:from+length+n], chunk):
			length += n
			literal += n
		case offset >= 0 && bytes.Equal(base[offset:min(offset+n, len(base))], chunk):
			flush(at)
			from, length, literal = offset, n, at+n
		}
		at += n
	}
	flush(len(target))
	return d
}

// chunkLength returns the length of the first chunk of b. Chunks end at places that depend on the bytes before them alone, so that
// equal parts of two values have equal chunks.
func chunkLength(b []byte) int {
	var h uint32
	for i, v := range b[:min(len(b), maxChunkBytes)] {
		h = h<<1 + uint32(v)*0x9e3779b1>>16
		if i >= minChunkBytes && h&chunkMask == chunkMask {
			return i + 1
		}
	}
	return min(len(b), maxChunkBytes)
}

// decodeDelta returns the value that a delta to base describes.
func decodeDelta(base, delta []byte) ([]byte, error) {
	if len(delta) < 2*digestBytes {
		return nil, errDeltaInvalid
	}
	if binary.BigEndian.Uint64(delta) != xxhash.Sum64(base) {
		return nil, errDeltaBase
	}
	digest := binary.BigEndian.Uint64(delta[digestBytes:])
	var out []byte
	for rest := delta[2*digestBytes:]; len(rest) > 0; {
		var v [3]uint64
		for i := range v {
			x, n := binary.Uvarint(rest)
			if n <= 0 {
				return nil, errDeltaInvalid
			}
			v[i], rest = x, rest[n:]
		}
		from, length, literal := v[0], v[1], v[2]
		if from > uint64(len(base)) || length > uint64(len(base))-from || literal > uint64(len(rest)) ||
			uint64(len(out))+length+literal > maxValueBytes {
			return nil, errDeltaInvalid
		}
		out = append(append(out, base[from:from+length]...), rest[:literal]...)
		rest = rest[literal:]
	}
	if xxhash.Sum64(out) != digest {
		return nil, errDeltaInvalid
	}
	return out, nil
}
