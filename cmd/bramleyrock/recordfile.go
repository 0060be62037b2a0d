package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	rock "bramleyrock"
)

// maxRecordFile is the greatest size of a file of records, in bytes.
const maxRecordFile = 16 << 20

// readRecords reads the records of all files; "-" is the standard input. A
// record that stands twice is an error.
func (a *app) readRecords(files []string) ([]rock.Record, error) {
	seen := map[rock.Key]string{}
	var all []rock.Record
	for _, file := range files {
		records, err := a.readRecordFile(file)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			if other, ok := seen[r.Key()]; ok {
				return nil, fmt.Errorf("read %s: %s stands also in %s; each record may stand once", file, r.Key(), other)
			}
			seen[r.Key()] = file
		}
		all = append(all, records...)
	}
	if len(all) == 0 {
		return nil, errors.New("read records: the files hold no records")
	}
	return all, nil
}

// readRecordFile reads the records of a file; "-" is the standard input.
func (a *app) readRecordFile(file string) ([]rock.Record, error) {
	in := a.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read records: %w", err)
		}
		defer f.Close()
		in = f
	}
	records, err := decodeRecords(io.LimitReader(in, maxRecordFile+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return records, nil
}

// decodeRecords reads JSON values that follow one another, each of them a
// record or a list of records.
func decodeRecords(r io.Reader) ([]rock.Record, error) {
	d := json.NewDecoder(r)
	var all []rock.Record
	for n := 1; ; n++ {
		var raw json.RawMessage
		err := d.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if d.InputOffset() > maxRecordFile {
			return nil, fmt.Errorf("more than %d bytes", maxRecordFile)
		}
		if err != nil {
			return nil, fmt.Errorf("value %d, byte %d: %w", n, d.InputOffset(), err)
		}
		records, err := decodeOneOrMany(raw)
		if err != nil {
			return nil, fmt.Errorf("value %d: %w", n, err)
		}
		all = append(all, records...)
	}
}

// decodeOneOrMany decodes a record or an array of records.
func decodeOneOrMany(raw json.RawMessage) ([]rock.Record, error) {
	if raw[0] == '[' {
		var many []rock.Record
		err := json.Unmarshal(raw, &many)
		return many, err
	}
	var one rock.Record
	if err := json.Unmarshal(raw, &one); err != nil {
		return nil, err
	}
	return []rock.Record{one}, nil
}
