// Package e2e tests the deployment with real processes: it builds the daemon,
// starts it for each host, and puts fault proxies between regions.
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

// binary is the daemon and tool the operators' tool, built once with the race
// detector if the tests have it.
var binary, tool string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "e2e")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary, tool = filepath.Join(dir, "monsoond"), filepath.Join(dir, "monsoonctl")
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
	// crashed names runs whose server crashed, which cost nothing if no part of
	// the answer was delivered.
	crashed map[string]bool
}

type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// startTimeout bounds the start of all processes; a busy machine needs seconds.
const startTimeout = 30 * time.Second

// start starts a deployment and waits until its routers are ready.
func start(t *testing.T, spec testbed.Spec, o testbed.Options) *deployment {
	d := begin(t, spec, o)
	d.awaitRouters()
	return d
}

// begin starts a deployment and does not wait.
func begin(t *testing.T, spec testbed.Spec, o testbed.Options) *deployment {
	c := qt.New(t)
	o.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	p, err := testbed.New(ctx, spec, o)
	c.Assert(err, qt.IsNil)
	d := &deployment{Platform: p, c: c, processes: map[string]*process{}, crashed: map[string]bool{}}
	t.Cleanup(d.close)
	for name := range p.Nodes {
		d.run(name)
	}
	return d
}

func (d *deployment) awaitRouters() {
	for name, s := range d.Nodes {
		if s.Role == wire.RoleRouter {
			d.awaitReady(name)
		}
	}
}

// run starts the process of a host.
func (d *deployment) run(name string) {
	dir := d.c.TB.(interface{ TempDir() string }).TempDir()
	file := filepath.Join(dir, name+".yaml")
	text, err := yaml.Marshal(d.Nodes[name])
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
	p := &process{log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	d.c.Assert(err, qt.IsNil)
	p.cmd = exec.Command(binary, "--settings", file)
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

// kill ends a process without a drain.
func (d *deployment) kill(name string) { _ = d.end(name, syscall.SIGKILL) }

// end sends signals and waits for the end of the process.
func (d *deployment) end(name string, signals ...syscall.Signal) error {
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

// running returns the number of requests that the model engines run now.
func (d *deployment) running() int {
	n := 0
	for _, e := range d.Engines {
		for _, run := range e.Runs() {
			if run.End.IsZero() {
				n++
			}
		}
	}
	return n
}

// runs returns the number of requests that the model engines have run.
func (d *deployment) runs() int {
	n := 0
	for _, e := range d.Engines {
		n += len(e.Runs())
	}
	return n
}

// newKey returns an idempotency key that carries its time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if d.c.Failed() {
			d.logTail(name, p.log)
		}
	}
	d.Platform.Close()
}

// maxLogLines bounds what a failed test prints of each process.
const maxLogLines = 15

func (d *deployment) logTail(name, file string) {
	text, _ := os.ReadFile(file)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if n := len(lines) - maxLogLines; n > 0 {
		lines = lines[n:]
	}
	d.c.Logf("%s:\n%s", name, strings.Join(lines, "\n"))
}

func (d *deployment) url(router string) string { return "http://" + d.Nodes[router].Public.Listen }

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

// eventually waits until a condition holds.
func (d *deployment) eventually(limit time.Duration, condition func() bool, format string, args ...any) {
	d.c.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.c.Fatalf(format, args...)
}

// answer is a caller's view of a response.
type answer struct {
	status  int
	verdict string
	header  http.Header
	body    string
	err     error
}

// call sends a request of a workspace and reads the whole answer.
func (d *deployment) call(router, workspace, method, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, d.url(router)+path, strings.NewReader(body))
	d.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+d.Keys[workspace])
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	verdict := resp.Header.Get("X-Verdict")
	if trailer := resp.Trailer.Get("X-Verdict"); trailer != "" {
		verdict = trailer
	}
	return answer{status: resp.StatusCode, verdict: verdict, header: resp.Header, body: string(text), err: err}
}

// chat returns the body of a chat request.
func (d *deployment) chat(text string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		d.Spec.Model.Name, maxTokens, stream, text)
}
