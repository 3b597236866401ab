package lookup

import (
	"encoding/csv"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"

	"github.com/rainford/rainford/table"
)

// Block assigns a hall, the home hall of its clients, to a range of client addresses.
type Block struct {
	Prefix netip.Prefix `json:"p"`
	Hall   string       `json:"h"`
}

// BlockShardCount is the number of stored objects that the table of blocks is divided into. If
// a block changes, instances receive only the object that contains it.
const BlockShardCount = 256

// BlockKeyPrefix is the prefix of the shards' object keys.
const BlockKeyPrefix = "blocks/"

// BlockShard is a stored object that holds a part of the table of blocks.
type BlockShard struct {
	Blocks []Block `json:"blocks"`
}

// ShardKey returns the object key of the shard that contains the block with the given prefix,
// which is one of "blocks/000" to "blocks/255".
func ShardKey(p netip.Prefix) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Masked().String()))
	return fmt.Sprintf("%s%03d", BlockKeyPrefix, h.Sum32()%BlockShardCount)
}

// BlockTable is the table of address blocks. It maps addresses to halls by the longest matching
// prefix. The zero value is empty.
type BlockTable struct {
	tree bart.Table[string]
}

// NewBlockTable returns a table of the given blocks. Of several blocks with one prefix the last one
// counts.
func NewBlockTable(blocks []Block) *BlockTable {
	b := &BlockTable{}
	for _, block := range blocks {
		b.tree.Insert(block.Prefix, block.Hall)
	}
	return b
}

// Replace returns a table in which newBlocks replace oldBlocks. It changes a copy
// of the receiver's tree and leaves the receiver as it is.
func (b *BlockTable) Replace(oldBlocks, newBlocks []Block) *BlockTable {
	next := &BlockTable{tree: *b.tree.Clone()}
	for _, block := range oldBlocks {
		next.tree.Delete(block.Prefix)
	}
	for _, block := range newBlocks {
		next.tree.Insert(block.Prefix, block.Hall)
	}
	return next
}

// Len returns the number of blocks in the table.
func (b *BlockTable) Len() int { return b.tree.Size() }

// Hall returns the hall of the longest prefix that contains addr, and whether there is one.
// It looks up an IPv4-mapped IPv6 address as the IPv4 address.
func (b *BlockTable) Hall(addr netip.Addr) (string, bool) {
	return b.tree.Lookup(addr.Unmap())
}

// ReadBlocks reads blocks from CSV with the header "block,hall". Lines that begin with # are
// comments. The error is a table.Findings with all faults, up to and including the first error of
// the CSV syntax. Blocks without faults are returned also if there is an error. A block with the
// prefix of an earlier one is a fault.
func ReadBlocks(r io.Reader) ([]Block, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = -1
	reader.Comment = '#'
	reader.TrimLeadingSpace = true
	var blocks []Block
	var findings table.Findings
	seen := make(map[netip.Prefix]int)
	for first := true; ; first = false {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			findings = append(findings, table.Finding{Message: err.Error()})
			break
		}
		line, column := reader.FieldPos(0)
		finding := table.Finding{Line: line, Column: column}
		if first {
			if strings.Join(record, ",") != "block,hall" {
				finding.Message = "want the header block,hall"
				findings = append(findings, finding)
			}
			continue
		}
		block, err := parseBlock(record)
		if err != nil {
			finding.Message = err.Error()
			findings = append(findings, finding)
			continue
		}
		if firstLine, duplicate := seen[block.Prefix]; duplicate {
			finding.Message = fmt.Sprintf("%s is already on line %d", block.Prefix, firstLine)
			findings = append(findings, finding)
			continue
		}
		seen[block.Prefix] = line
		blocks = append(blocks, block)
	}
	return blocks, findings.Err()
}

// parseBlock returns the block of a CSV record. It sets the host bits of the
// prefix to zero.
func parseBlock(record []string) (Block, error) {
	if len(record) != 2 {
		return Block{}, fmt.Errorf("%d cells, want 2", len(record))
	}
	prefix, err := netip.ParsePrefix(strings.TrimSpace(record[0]))
	if err != nil {
		return Block{}, fmt.Errorf("block: %w", err)
	}
	hall := strings.TrimSpace(record[1])
	if hall == "" {
		return Block{}, errors.New("hall: must not be empty")
	}
	return Block{Prefix: prefix.Masked(), Hall: hall}, nil
}
