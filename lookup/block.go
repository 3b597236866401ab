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

// Block is a range of client addresses with the hall they are close to.
type Block struct {
	Prefix netip.Prefix `json:"p"`
	Hall   string       `json:"h"`
}

// BlockShardCount is the number of objects that the table of blocks is split into,
// so that a change of one block moves a small part of it.
const BlockShardCount = 256

// BlockKeyPrefix is the prefix of the shards' object keys.
const BlockKeyPrefix = "blocks/"

// BlockShard is one object of the table of blocks.
type BlockShard struct {
	Blocks []Block `json:"blocks"`
}

// ShardKey returns the object key of the shard that holds a prefix.
func ShardKey(p netip.Prefix) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.Masked().String()))
	return fmt.Sprintf("%s%03d", BlockKeyPrefix, h.Sum32()%BlockShardCount)
}

// BlockTable is the table of blocks. The zero value is empty.
type BlockTable struct {
	tree bart.Table[string]
}

// NewBlockTable returns the table of the given blocks.
func NewBlockTable(blocks []Block) *BlockTable {
	b := &BlockTable{}
	for _, block := range blocks {
		b.tree.Insert(block.Prefix, block.Hall)
	}
	return b
}

// Replace returns a table in which the blocks of old are replaced by those of
// now. The receiver is unchanged, and what both have in common is shared.
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

// Len returns the number of blocks.
func (b *BlockTable) Len() int { return b.tree.Size() }

// Hall returns the hall of the longest prefix that holds addr.
func (b *BlockTable) Hall(addr netip.Addr) (string, bool) {
	return b.tree.Lookup(addr.Unmap())
}

// ReadBlocks reads blocks from CSV with the header "block,hall". All faults
// are returned together as table.Findings.
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
			finding.Message = fmt.Sprintf("%s stands already on line %d", block.Prefix, firstLine)
			findings = append(findings, finding)
			continue
		}
		seen[block.Prefix] = line
		blocks = append(blocks, block)
	}
	return blocks, findings.Err()
}

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
