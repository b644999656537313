package xds

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cobaltward/discovery/xds/resource"
)

// TestReadCache_FileOfEarlierVersion checks that a list cached by an earlier version can be read. After the list is
// written again, the file must be identical.
func TestReadCache_FileOfEarlierVersion(t *testing.T) {
	storedDir := filepath.Join("testdata", "kept")
	got, err := readCache(storedDir)
	if err != nil {
		t.Fatal(err)
	}
	want := cachedList{
		Saved: time.Date(2026, 12, 1, 8, 30, 0, 250e6, time.UTC),
		Clusters: map[string]*resource.Assignment{
			"rooms": {
				Name: "rooms", Drop: 0.25, Overprovisioning: 1.4, StaleAfter: 90 * time.Second,
				Endpoints: []resource.Endpoint{
					{
						Addr: "10.0.0.1:8080", Health: resource.Healthy, Zone: "a", Weight: 2, Kind: "big", Cell: 3,
						Started: time.UnixMilli(1764570000123).UTC(),
					},
					{Addr: "10.0.0.2:8080", Health: resource.Draining, Zone: "b", Weight: 1, Priority: 1},
				},
			},
			"mail": {
				Name: "mail", Overprovisioning: 1.4,
				Endpoints: []resource.Endpoint{{Addr: "10.0.1.1:25", Health: resource.Unknown, Zone: "a", Weight: 1}},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	dir := t.TempDir()
	if err := writeCache(dir, got); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(storedDir, cacheFileName))
	if err != nil {
		t.Fatal(err)
	}
	rewritten, err := os.ReadFile(filepath.Join(dir, cacheFileName))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(rewritten, raw) {
		t.Errorf("the rewritten file contains %s, want %s", rewritten, raw)
	}
}
