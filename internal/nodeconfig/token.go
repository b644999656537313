package nodeconfig

import (
	"fmt"
	"os"
	"strings"
)

const (
	minTokenLength = 16    // characters
	otherUsersMode = 0o077 // permission bits of all users except the file's owner
)

// ReadToken returns the bearer token in the first line of a file. It returns an error if other users have any access
// to the file, or if the token is shorter than 16 characters.
func ReadToken(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&otherUsersMode != 0 {
		return "", fmt.Errorf("%s: accessible to other users: want mode 0600, got %04o", path, info.Mode().Perm())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	if line = strings.TrimSpace(line); len(line) < minTokenLength {
		return "", fmt.Errorf("%s: want a token of %d characters or more in its first line", path, minTokenLength)
	}
	return line, nil
}
