// Package e2e tests a deployment with real processes: it builds the daemon and the
// operators' tool, runs one daemon per host against stand-ins for the platform, and
// puts fault-injecting proxies between regions.
package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// daemonPath and toolPath are the paths of monsoond and monsoonctl. TestMain builds
// both, with the race detector if the tests are built with it.
var daemonPath, toolPath string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "e2e")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		daemonPath, toolPath = filepath.Join(dir, "monsoond"), filepath.Join(dir, "monsoonctl")
		build := exec.Command("go", append(buildArgs(), "-o", dir, "../../cmd/monsoond", "../../cmd/monsoonctl")...)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build:", err)
			return 1
		}
		return m.Run()
	}())
}

func buildArgs() []string {
	if raceEnabled {
		return []string{"build", "-race"}
	}
	return []string{"build"}
}

// deployment is a platform with one process per host.
type deployment struct {
	*testbed.Platform
	c *qt.C

	mu        sync.Mutex
	processes map[string]*process
	// crashed holds the IDs of attempts whose server crashed. They are not billed if no
	// part of the response was delivered.
	crashed map[string]bool
}

// process is a running daemon.
type process struct {
	cmd     *exec.Cmd
	logFile string
	done    chan struct{}
	err     error
}

// startTimeout limits the time until all processes are ready; on a busy host the
// start takes seconds.
const startTimeout = 30 * time.Second

// start starts all processes of a deployment and waits until its routers are ready.
func start(t *testing.T, spec testbed.Spec, o testbed.Options) *deployment {
	d := startWithoutWait(t, spec, o)
	d.awaitRouters()
	return d
}

// startWithoutWait starts all processes of a deployment without waiting until they
// are ready.
func startWithoutWait(t *testing.T, spec testbed.Spec, o testbed.Options) *deployment {
	c := qt.New(t)
	o.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	p, err := testbed.New(ctx, spec, o)
	c.Assert(err, qt.IsNil)
	d := &deployment{Platform: p, c: c, processes: map[string]*process{}, crashed: map[string]bool{}}
	t.Cleanup(d.close)
	for name := range p.ProcessSettings {
		d.startProcess(name)
	}
	return d
}

func (d *deployment) awaitRouters() {
	for name, s := range d.ProcessSettings {
		if s.Role == wire.RoleRouter {
			d.awaitReady(name)
		}
	}
}

// startProcess starts the process of a host.
func (d *deployment) startProcess(name string) {
	dir := d.c.TB.(interface{ TempDir() string }).TempDir()
	settingsFile := filepath.Join(dir, name+".yaml")
	text, err := yaml.Marshal(d.ProcessSettings[name])
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(os.WriteFile(settingsFile, text, 0o600), qt.IsNil)
	p := &process{logFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.logFile)
	d.c.Assert(err, qt.IsNil)
	p.cmd = exec.Command(daemonPath, "--settings", settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	d.c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
}

// kill sends SIGKILL to a process, which ends it without a drain, and waits until it
// exits.
func (d *deployment) kill(name string) { _ = d.stop(name, syscall.SIGKILL) }

// stop sends signals to a process, waits until it exits and returns its error.
func (d *deployment) stop(name string, signals ...syscall.Signal) error {
	d.mu.Lock()
	p := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	for _, sig := range signals {
		_ = p.cmd.Process.Signal(sig)
	}
	<-p.done
	return p.err
}

// activeRequests returns the number of requests in progress at the model engines.
func (d *deployment) activeRequests() int {
	n := 0
	for _, e := range d.Engines {
		for _, record := range e.Requests() {
			if record.End.IsZero() {
				n++
			}
		}
	}
	return n
}

// totalRequests returns the number of requests in the logs of the model engines.
func (d *deployment) totalRequests() int {
	n := 0
	for _, e := range d.Engines {
		n += len(e.Requests())
	}
	return n
}

// newKey returns an idempotency key that contains its creation time (UUIDv7).
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if d.c.Failed() {
			d.logTail(name, p.logFile)
		}
	}
	d.Platform.Close()
}

// maxLogLines limits the log lines that a failed test prints for each process.
const maxLogLines = 15

// logTail writes the last lines of a process's log to the test's log.
func (d *deployment) logTail(name, logFile string) {
	text, _ := os.ReadFile(logFile)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if n := len(lines) - maxLogLines; n > 0 {
		lines = lines[n:]
	}
	d.c.Logf("%s:\n%s", name, strings.Join(lines, "\n"))
}

func (d *deployment) url(router string) string {
	return "http://" + d.ProcessSettings[router].Public.Listen
}

func (d *deployment) awaitReady(router string) {
	d.eventually(startTimeout, func() bool {
		resp, err := http.Get(d.url(router) + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, "router %s is not ready", router)
}

// eventually polls until condition holds, and fails the test after limit. The arguments
// of the message are evaluated before the first poll.
func (d *deployment) eventually(limit time.Duration, condition func() bool, format string, args ...any) {
	d.c.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.c.Fatalf(format, args...)
}

// response is a response as a caller sees it.
type response struct {
	status  int
	verdict string
	header  http.Header
	body    string
	err     error
}

// call sends a request of a workspace and reads the whole response.
func (d *deployment) call(router, workspace, method, path, body string, header map[string]string) response {
	req, err := http.NewRequest(method, d.url(router)+path, strings.NewReader(body))
	d.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+d.Keys[workspace])
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	verdict := resp.Header.Get("X-Verdict")
	if trailer := resp.Trailer.Get("X-Verdict"); trailer != "" {
		verdict = trailer
	}
	return response{status: resp.StatusCode, verdict: verdict, header: resp.Header, body: string(text), err: err}
}

// chat returns the body of a chat request.
func (d *deployment) chat(text string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		d.Spec.Model.Name, maxTokens, stream, text)
}
