package nodeconfig

const maxMsgpackLimit = 10_000 // maximum value of the keys connections and calls

// read reads the keys of the table [msgpack] that are not strings. The caller must have called readStrings.
func (m *Msgpack) read(lines lineFinder, doc *document) error {
	table := doc.Msgpack
	for _, number := range []struct {
		key  string
		from any
		to   *int
	}{{"connections", table.Connections, &m.MaxConns}, {"calls", table.Calls, &m.MaxCallsPerConn}} {
		if number.from == nil {
			continue
		}
		value, ok := number.from.(int64)
		if !ok || value < 1 || value > maxMsgpackLimit {
			return lines.errorf("msgpack", number.key, "want 1 to %d, got %v", maxMsgpackLimit, number.from)
		}
		*number.to = int(value)
	}
	var err error
	if m.ServerKinds, err = readStringList(table.Servers); err != nil {
		return lines.errorf("msgpack", "servers", "%w", err)
	}
	if m.Listen == "" && m.MaxConns+m.MaxCallsPerConn > 0 {
		return lines.errorf("msgpack", "listen", "missing: connections and calls limit a listener")
	}
	return nil
}
