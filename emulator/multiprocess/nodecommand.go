package multiprocess

import (
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// Paths of the checker to which the commands of a rolling update report.
const (
	patchBeginPath  = "/begin"
	patchApplyPath  = "/replace"
	patchCommitPath = "/commit"
	patchVerifyPath = "/look"
)

// Exit statuses of the commands, as agents read them.
const (
	exitApplied    = 0
	exitNotApplied = 1
	exitUnknown    = 3
)

const (
	patchDuration = 60 * time.Millisecond
	// patchExitDelay is a time in which the agent may die without having recorded that the patch was applied.
	patchExitDelay = 20 * time.Millisecond
)

// runNodeCommand stands in for the command by which an agent patches its node or verifies a patch. It only reports to
// the checker.
func runNodeCommand(role string) (status int) {
	if role == roleVerify {
		return report(patchVerifyPath)
	}
	if status := report(patchBeginPath); status != exitApplied {
		return status
	}
	time.Sleep(patchDuration)
	status = report(patchApplyPath)
	if status == exitApplied {
		status = report(patchCommitPath)
	}
	time.Sleep(patchExitDelay)
	return status
}

// report posts the command's environment to the checker, and returns an exit status by its response.
func report(path string) (status int) {
	form := url.Values{}
	for _, key := range []string{"NODE", "KEY", "TOKEN", "STEP"} {
		form.Set(strings.ToLower(key), os.Getenv("WAYHOLD_"+key))
	}
	response, err := http.PostForm("http://"+os.Getenv(checkerEnv)+path, form)
	if err != nil {
		return exitUnknown
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return exitApplied
	case http.StatusNotFound:
		return exitNotApplied
	}
	return exitUnknown
}
