package xds

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/internal/atomicfile"
)

const (
	keptName    = "xds-last.json"
	keptVersion = "wayhold-xds 1" // of the file's form
	maxKept     = 256 << 20       // bytes
)

// kept is the last whole list as it lies on disk: a line with the form's version and a checksum of the
// rest, then JSON.
type kept struct {
	Saved    time.Time
	Clusters map[string]*resource.Assignment
}

// save writes the list, so that a reader finds the old one or the new one and never a part.
func save(dir string, k kept) error {
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %s\n", keptVersion, hex.EncodeToString(sum[:]))
	return atomicfile.Write(filepath.Join(dir, keptName), append([]byte(head), body...))
}

// load reads the list that was saved last. One that is torn, altered or another's is refused.
func load(dir string) (k kept, err error) {
	f, err := os.Open(filepath.Join(dir, keptName))
	if err != nil {
		return k, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxKept+1))
	if err != nil {
		return k, err
	}
	if len(raw) > maxKept {
		return k, fmt.Errorf("%s: over %d bytes", f.Name(), maxKept)
	}
	head, body, _ := bytes.Cut(raw, []byte("\n"))
	sum := sha256.Sum256(body)
	switch want := keptVersion + " " + hex.EncodeToString(sum[:]); {
	case !bytes.HasPrefix(head, []byte(keptVersion+" ")):
		return k, fmt.Errorf("%s: not a list of this form", f.Name())
	case string(head) != want:
		return k, fmt.Errorf("%s: torn or altered: its checksum does not fit", f.Name())
	}
	if err := json.Unmarshal(body, &k); err != nil {
		return k, fmt.Errorf("%s: %v", f.Name(), err)
	}
	for name, a := range k.Clusters {
		if a == nil {
			return kept{}, fmt.Errorf("%s: cluster %q: empty", f.Name(), name)
		}
	}
	return k, nil
}

// under lays what was kept under what is in force, where that has nothing yet.
func (k kept) under(applied map[string]ads.Applied) map[string]ads.Applied {
	all := make(map[string]ads.Applied, len(applied)+len(k.Clusters))
	for name, a := range k.Clusters {
		all[name] = ads.Applied{Assignment: a, Warming: true}
	}
	for name, a := range applied {
		if a.Assignment != nil || all[name].Assignment == nil {
			all[name] = a
		}
	}
	return all
}

// keeper writes lists to disk in a goroutine of its own, the newest only: a disk that stalls must not
// hold up the news of a drain.
type keeper struct {
	dir  string
	next chan kept
}

func (k *keeper) offer(list kept) {
	select {
	case <-k.next:
	default:
	}
	k.next <- list
}

// run writes until next is closed.
func (k *keeper) run(failed func(error)) {
	for list := range k.next {
		if err := save(k.dir, list); err != nil {
			failed(err)
		}
	}
}
