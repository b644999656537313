package nodeconfig

import "fmt"

// read reads the keys of the table [xds] that are not strings and validates the whole table. The caller must have
// called readStrings.
func (x *XDS) read(lines lineFinder, doc *document) error {
	table := doc.XDS
	for _, flag := range []struct {
		key  string
		from any
		to   *bool
	}{{"delta", table.Delta, &x.Delta}, {"alone", table.Alone, &x.WithoutPlatform}} {
		if value, ok := flag.from.(bool); ok {
			*flag.to = value
		} else if flag.from != nil {
			return lines.errorf("xds", flag.key, "want true or false, got %v", flag.from)
		}
	}
	var err error
	if x.Files, err = readStringList(table.Files); err != nil {
		return lines.errorf("xds", "files", "%w", err)
	}
	for class, value := range table.Pools {
		cluster, ok := value.(string)
		if !ok || cluster == "" {
			return lines.errorf("xds.pools", class, "want the name of a cluster in quotes, got %v", value)
		}
		if x.ClusterByClass == nil {
			x.ClusterByClass = make(map[string]string)
		}
		x.ClusterByClass[class] = cluster
	}
	return x.check(lines)
}

func (x *XDS) check(lines lineFinder) error {
	forControlPlane := x.CAFile != "" || x.Delta || x.CacheDir != ""
	switch {
	case x.Bootstrap != "" && len(x.Files) > 0:
		return lines.errorf("xds", "files", "want either files or bootstrap, got both")
	case !x.Enabled() && (forControlPlane || x.WithoutPlatform || len(x.ClusterByClass) > 0):
		return fmt.Errorf("%d: xds: neither bootstrap nor files is set, so the rest of the table has no effect",
			lines.lineOf("xds", ""))
	case len(x.Files) > 0 && forControlPlane:
		return lines.errorf("xds", "files", "ca_file, delta and dir are for a control plane")
	}
	return nil
}
