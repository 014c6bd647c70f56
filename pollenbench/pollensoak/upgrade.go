package pollensoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// BuildError reports a commit whose entry instance can't be built.
type BuildError struct {
	Commit string
	// Output is what the command has written.
	Output string
	Err    error
}

func (e *BuildError) Error() string {
	return fmt.Sprintf("build of commit %s: %v: %s", e.Commit, e.Err, strings.TrimSpace(e.Output))
}

func (e *BuildError) Unwrap() error { return e.Err }

// NoCommitError reports that a commit is not in the history of the local repository, or that there is no repository or no git.
type NoCommitError struct {
	BuildError
}

// BuildCommit builds the entry instance of a commit of the repository of the working directory in a directory, and returns the path of the
// program. Its error is a *NoCommitError or a *BuildError.
func BuildCommit(ctx context.Context, commit, directory string) (string, error) {
	command := func(folder, name string, arguments ...string) (string, error) {
		c := exec.CommandContext(ctx, name, arguments...)
		c.Dir = folder
		output, err := c.CombinedOutput()
		return string(output), err
	}
	root, err := command("", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", &NoCommitError{BuildError{commit, root, err}}
	}
	root = strings.TrimSpace(root)
	tree, archive, program := filepath.Join(directory, "tree"), filepath.Join(directory, "tree.tar"), filepath.Join(directory, "pollenentry")
	if err := os.MkdirAll(tree, 0o755); err != nil {
		return "", &BuildError{Commit: commit, Err: err}
	}
	if output, err := command(root, "git", "archive", "--format=tar", "-o", archive, commit+"^{commit}"); err != nil {
		return "", &NoCommitError{BuildError{commit, output, err}}
	}
	for _, step := range [][]string{
		{"tar", "-xf", archive},
		{"go", "build", "-buildvcs=false", "-ldflags", "-X pollenline.example/pollen/pollenversion.revision=" + commit, "-o", program, "./pollenentry"},
	} {
		if output, err := command(tree, step[0], step[1:]...); err != nil {
			return "", &BuildError{commit, output, err}
		}
	}
	return program, nil
}

// replacement is the start of an instance with another program, some time after the former replacement.
type replacement struct {
	instance int
	pause    time.Duration
	// back is set if the instance returns to the production program.
	back bool
}

const (
	// maxReplacementPause bounds the pause between two replacements, replacementTime is how long one usually takes at most.
	maxReplacementPause = time.Second
	replacementTime     = 6 * time.Second
	// backShare is the share of seeds in which the instances return to the production program, from some point of the upgrade on.
	backShare = 0.5
)

// newUpgrade draws the replacements of a run that starts with the production program.
func newUpgrade(config Config) []replacement {
	if config.Production == "" {
		return nil
	}
	random := rand.New(rand.NewPCG(config.Seed, 1<<34))
	var upgrade []replacement
	order := random.Perm(config.Instances)
	if random.Float64() < backShare {
		order = order[:1+random.IntN(config.Instances)]
		back := slices.Clone(order)
		random.Shuffle(len(back), func(a, b int) { back[a], back[b] = back[b], back[a] })
		order = append(order, back...)
	}
	replaced := make(map[int]bool)
	for _, n := range order {
		upgrade = append(upgrade, replacement{instance: n, pause: time.Duration(random.Int64N(int64(maxReplacementPause))), back: replaced[n]})
		replaced[n] = true
	}
	return upgrade
}

// upgrade replaces instances one after the other, each once the former one is ready.
func (c *cluster) upgrade(ctx context.Context, replacements []replacement, config Config) error {
	started := time.Now()
	for _, r := range replacements {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(r.pause):
		}
		e, program := c.instances[r.instance], config.Program
		if r.back {
			program = config.Production
		}
		fmt.Fprintf(config.Output, "%6.2fs replace %s, back %v\n", (faultFreeStart + time.Since(started)).Seconds(), e.name, r.back)
		if err := c.restart(ctx, e, program); err != nil {
			return err
		}
		readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
		err := e.awaitReady(readyCtx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
