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
	cacheFileName = "xds-last.json"
	cacheFormat   = "wayhold-xds 1" // name and version of the file format
	maxCacheSize  = 256 << 20       // maximum size of the cache file, in bytes
)

// cachedList is the last complete list, cached on disk. The first line of the file contains the format and a checksum
// of the rest. The rest is this struct as JSON. The field names of cachedList, resource.Assignment and
// resource.Endpoint are keys in the file.
type cachedList struct {
	Saved    time.Time
	Clusters map[string]*resource.Assignment
}

// writeCache atomically replaces the cached list in dir.
func writeCache(dir string, list cachedList) error {
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(dir, cacheFileName), append([]byte(cacheHeader(body)+"\n"), body...))
}

// cacheHeader returns the header line for a body.
func cacheHeader(body []byte) string {
	sum := sha256.Sum256(body)
	return cacheFormat + " " + hex.EncodeToString(sum[:])
}

// readCache reads the cached list in dir. It returns an error if the file is truncated, altered or in another format.
func readCache(dir string) (cachedList, error) {
	path := filepath.Join(dir, cacheFileName)
	raw, err := readLimited(path, maxCacheSize)
	if err != nil {
		return cachedList{}, err
	}
	list, err := parseCache(raw)
	if err != nil {
		return cachedList{}, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// parseCache parses the content of the cache file.
func parseCache(raw []byte) (cachedList, error) {
	header, body, _ := bytes.Cut(raw, []byte("\n"))
	if !bytes.HasPrefix(header, []byte(cacheFormat+" ")) {
		return cachedList{}, fmt.Errorf("not a cached endpoint list in a known format")
	}
	if string(header) != cacheHeader(body) {
		return cachedList{}, fmt.Errorf("truncated or altered: its checksum does not match")
	}
	var list cachedList
	if err := json.Unmarshal(body, &list); err != nil {
		return cachedList{}, err
	}
	for name, assignment := range list.Clusters {
		if assignment == nil {
			return cachedList{}, fmt.Errorf("cluster %q: empty", name)
		}
	}
	return list, nil
}

// readLimited returns the content of a file. It returns an error if the file is larger than limit bytes. Errors name
// the file.
func readLimited(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(f, limit+1))
	_ = f.Close() // closing a file that was only read cannot lose data
	if err == nil && int64(len(raw)) > limit {
		err = fmt.Errorf("larger than %d bytes", limit)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return raw, nil
}

// fillMissingAssignments returns the applied clusters. A cluster that has not received an assignment yet has the
// cached assignment instead.
func (c cachedList) fillMissingAssignments(applied map[string]ads.AppliedCluster) map[string]ads.AppliedCluster {
	merged := make(map[string]ads.AppliedCluster, len(applied)+len(c.Clusters))
	for name, assignment := range c.Clusters {
		merged[name] = ads.AppliedCluster{Assignment: assignment, Warming: true}
	}
	for name, cluster := range applied {
		if cluster.Assignment != nil || merged[name].Assignment == nil {
			merged[name] = cluster
		}
	}
	return merged
}

// cacheWriter writes lists to disk in a separate goroutine. A slow disk therefore does not delay updates. If several
// lists are waiting, only the newest list is written.
type cacheWriter struct {
	dir     string
	pending chan cachedList // buffers the newest list; closed to stop run
}

func newCacheWriter(dir string) *cacheWriter {
	return &cacheWriter{dir: dir, pending: make(chan cachedList, 1)}
}

// enqueue replaces the pending list. It must not be called concurrently.
func (w *cacheWriter) enqueue(list cachedList) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- list
}

// run writes lists until pending is closed. It calls failed after each failed write.
func (w *cacheWriter) run(failed func(error)) {
	for list := range w.pending {
		if err := writeCache(w.dir, list); err != nil {
			failed(err)
		}
	}
}
