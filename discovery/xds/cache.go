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
	cacheFileName    = "xds-last.json"
	cacheFormat = "wayhold-xds 1" // of the file's form
	maxCacheSize     = 256 << 20       // bytes
)

// cachedList is the last whole list as it lies on disk: a line with the form's version and a checksum of the
// rest, then JSON.
type cachedList struct {
	Saved    time.Time
	Clusters map[string]*resource.Assignment
}

// writeCache writes the list, so that a reader finds the old one or the new one and never a part.
func writeCache(dir string, k cachedList) error {
	body, err := json.Marshal(k)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %s\n", cacheFormat, hex.EncodeToString(sum[:]))
	return atomicfile.Write(filepath.Join(dir, cacheFileName), append([]byte(head), body...))
}

// readCache reads the list that was saved last. One that is torn, altered or another's is refused.
func readCache(dir string) (k cachedList, err error) {
	f, err := os.Open(filepath.Join(dir, cacheFileName))
	if err != nil {
		return k, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxCacheSize+1))
	if err != nil {
		return k, err
	}
	if len(raw) > maxCacheSize {
		return k, fmt.Errorf("%s: over %d bytes", f.Name(), maxCacheSize)
	}
	head, body, _ := bytes.Cut(raw, []byte("\n"))
	sum := sha256.Sum256(body)
	switch want := cacheFormat + " " + hex.EncodeToString(sum[:]); {
	case !bytes.HasPrefix(head, []byte(cacheFormat+" ")):
		return k, fmt.Errorf("%s: not a list of this form", f.Name())
	case string(head) != want:
		return k, fmt.Errorf("%s: torn or altered: its checksum does not fit", f.Name())
	}
	if err := json.Unmarshal(body, &k); err != nil {
		return k, fmt.Errorf("%s: %v", f.Name(), err)
	}
	for name, a := range k.Clusters {
		if a == nil {
			return cachedList{}, fmt.Errorf("%s: cluster %q: empty", f.Name(), name)
		}
	}
	return k, nil
}

// mergeUnder lays what was kept mergeUnder what is in force, where that has nothing yet.
func (k cachedList) mergeUnder(applied map[string]ads.AppliedCluster) map[string]ads.AppliedCluster {
	all := make(map[string]ads.AppliedCluster, len(applied)+len(k.Clusters))
	for name, a := range k.Clusters {
		all[name] = ads.AppliedCluster{Assignment: a, Warming: true}
	}
	for name, a := range applied {
		if a.Assignment != nil || all[name].Assignment == nil {
			all[name] = a
		}
	}
	return all
}

// cacheWriter writes lists to disk in a goroutine of its own, the newest only: a disk that stalls must not
// hold up the news of a drain.
type cacheWriter struct {
	dir  string
	pending chan cachedList
}

func (k *cacheWriter) enqueue(list cachedList) {
	select {
	case <-k.pending:
	default:
	}
	k.pending <- list
}

// run writes until next is closed.
func (k *cacheWriter) run(failed func(error)) {
	for list := range k.pending {
		if err := writeCache(k.dir, list); err != nil {
			failed(err)
		}
	}
}
