package nodeconfig

import (
	"fmt"
	"os"
	"strings"
)

// ReadToken is the first line of a file that nobody else may read.
func ReadToken(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", fmt.Errorf("%s: others may read it: want mode 0600, got %04o", path, info.Mode().Perm())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	if line = strings.TrimSpace(line); len(line) < 16 {
		return "", fmt.Errorf("%s: want a token of 16 characters or more in its first line", path)
	}
	return line, nil
}
