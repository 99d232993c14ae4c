package trace

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"time"
)

// Reader reads a trace block by block.
type Reader struct {
	Header
	input *bufio.Reader
	block []byte

	Blocks, CorruptBlocks int // blocks read, and corrupt blocks skipped
}

// NewReader reads the header. It returns ErrNotTrace, ErrVersion or another error if that fails.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{input: bufio.NewReaderSize(in, 64<<10)}
	var m [8]byte
	if _, err := io.ReadFull(r.input, m[:]); err != nil || [7]byte(m[:7]) != [7]byte(magic[:7]) {
		return nil, ErrNotTrace
	}
	if m[7] != magic[7] {
		return nil, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, m[7], magic[7])
	}
	p, err := r.readBlock()
	if err != nil {
		return nil, fmt.Errorf("header: %w", err)
	}
	return r, r.Header.read(p)
}

func (h *Header) read(p []byte) error {
	startedAt, n := binary.Varint(p)
	if n <= 0 {
		return ErrCorrupt
	}
	h.StartedAt, p = time.Duration(startedAt)*time.Microsecond, p[n:]
	next := func() (uint64, bool) {
		x, n := binary.Uvarint(p)
		if n <= 0 {
			return 0, false
		}
		p = p[n:]
		return x, true
	}
	sample, ok := next()
	if !ok || sample > 1e6 || len(p) < 8 {
		return ErrCorrupt
	}
	h.Sample = float64(sample) / 1e6
	copy(h.SaltID[:], p)
	p = p[8:]
	count, ok := next()
	if !ok || count > maxClasses {
		return ErrCorrupt
	}
	for range count {
		length, ok := next()
		if !ok || length > uint64(len(p)) {
			return ErrCorrupt
		}
		h.Classes, p = append(h.Classes, string(p[:length])), p[length:]
	}
	return nil
}

// readBlock returns the payload of the next block, valid until the next call. The error is io.EOF at the end of the
// trace.
func (r *Reader) readBlock() ([]byte, error) {
	var header [blockHeaderSize]byte
	switch _, err := io.ReadFull(r.input, header[:]); {
	case err == io.EOF:
		return nil, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, ErrTruncated
	case err != nil:
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length == 0 || length > maxBlockSize {
		return nil, fmt.Errorf("%w: block length %d", ErrCorrupt, length)
	}
	if uint32(cap(r.block)) < length {
		r.block = make([]byte, length)
	}
	r.block = r.block[:length]
	if _, err := io.ReadFull(r.input, r.block); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || err == io.EOF {
			return nil, ErrTruncated
		}
		return nil, err
	}
	if crc32.Checksum(r.block, crcTable) != binary.LittleEndian.Uint32(header[4:]) {
		r.CorruptBlocks++
		return nil, ErrCorrupt
	}
	return r.block, nil
}

// ForEach calls yield for all records in their order. It skips and counts blocks with a wrong checksum. A trace that
// ends within a block gives ErrTruncated after all complete blocks.
func (r *Reader) ForEach(yield func(Record) error) error {
	for {
		corrupt := r.CorruptBlocks
		p, err := r.readBlock()
		switch {
		case err == io.EOF:
			return nil
		case err != nil && r.CorruptBlocks > corrupt: // its length is known, so the next one can be found
			continue
		case err != nil:
			return err
		}
		r.Blocks++
		if err := decode(p, len(r.Classes), yield); err != nil {
			return err
		}
	}
}

// Trace is a whole trace in memory.
type Trace struct {
	Header
	Records []Record
	// Faults found when reading: corrupt blocks that were skipped, a missing end, and records with a time before the
	// previous one.
	CorruptBlocks int
	Truncated     bool
	BackwardSteps int
}

// maxRecords limits the size of a trace in memory to some gigabytes.
const maxRecords = 50_000_000

// Load reads a trace from a file. Truncation and corrupt blocks are reported in the result, together with all records
// that could be read. A record with a time before the previous one is counted and gets the latest time before it.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return ReadAll(f)
}

// ReadAll reads a trace as Load does.
func ReadAll(in io.Reader) (*Trace, error) {
	r, err := NewReader(in)
	if err != nil {
		return nil, err
	}
	t := &Trace{}
	latest := time.Duration(0)
	err = r.ForEach(func(x Record) error {
		if x.At < latest {
			t.BackwardSteps++
			x.At = latest
		}
		latest = x.At
		if t.Records = append(t.Records, x); len(t.Records) > maxRecords {
			return fmt.Errorf("more than %d records", maxRecords)
		}
		return nil
	})
	t.Header, t.CorruptBlocks = r.Header, r.CorruptBlocks
	if errors.Is(err, ErrTruncated) {
		t.Truncated, err = true, nil
	}
	return t, err
}
