package multiprocess

import (
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// Paths of the effect checker to which the patch and verify commands report.
const (
	patchBeginPath  = "/begin"
	patchApplyPath  = "/replace"
	patchCommitPath = "/commit"
	patchVerifyPath = "/look"
)

// Exit statuses that tell the agent the outcome of a command.
const (
	exitApplied        = 0
	exitNotApplied     = 1
	exitOutcomeUnknown = 3
)

const (
	patchDuration = 60 * time.Millisecond
	// patchExitDelay delays the exit of the command after the patch was applied. An agent that is killed during this
	// delay has not recorded the patch as applied.
	patchExitDelay = 20 * time.Millisecond
)

// runNodeCommand stands in for the command with which an agent patches its node or checks whether a patch was
// applied. The stand-in only reports to the effect checker.
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

// report posts the command's environment to the effect checker. It converts the response to an exit status.
func report(path string) (status int) {
	form := url.Values{}
	for _, key := range []string{"NODE", "KEY", "TOKEN", "STEP"} {
		form.Set(strings.ToLower(key), os.Getenv("WAYHOLD_"+key))
	}
	response, err := http.PostForm("http://"+os.Getenv(checkerEnv)+path, form)
	if err != nil {
		return exitOutcomeUnknown
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return exitApplied
	case http.StatusNotFound:
		return exitNotApplied
	}
	return exitOutcomeUnknown
}
