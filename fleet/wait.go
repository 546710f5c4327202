package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/ident"
)

// waitStore waits until the store's stand-in accepts connections on both of its
// addresses. It returns an error with the end of the store's log after readyTimeout.
func (f *Fleet) waitStore() error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range []string{f.Store.Address, f.Store.Control} {
		for {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("store does not listen on %s in time; its log ends with:\n%s", address, f.logTail(f.Store))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// WaitReady waits until every daemon is ready and lists the targets of all daemons.
// It returns an error with the end of a daemon's log if that daemon exits or is not
// ready within readyTimeout.
func (f *Fleet) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range f.Daemons {
		for !f.isReady(d) {
			if time.Now().After(deadline) || d.hasExited() {
				return errors.Errorf("%s exited or is not ready in time; its log ends with:\n%s", d.Name, f.logTail(d))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// hasExited reports whether the process has ended.
func (p *Process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// logTailBytes is the number of bytes from the end of a log that an error shows.
const logTailBytes = 2000

// logTail returns the end of a process's log, or the error from reading it.
func (f *Fleet) logTail(p *Process) string {
	b, err := os.ReadFile(filepath.Join(f.spec.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailBytes):])
}

// isReady reports whether a daemon is ready and lists at least as many targets as
// the fleet has.
func (f *Fleet) isReady(d *Process) bool {
	if _, err := GetJSON(d.Control, "/readyz", nil); err != nil {
		return false
	}
	var s struct {
		Members []struct {
			Targets []struct{} `json:"targets"`
		} `json:"members"`
	}
	if _, err := GetJSON(d.Control, "/v1/status", &s); err != nil {
		return false
	}
	targets := 0
	for _, m := range s.Members {
		targets += len(m.Targets)
	}
	return targets >= len(f.Targets)
}

// WaitSlots waits until the daemons together hold all rate slots and each of them knows the
// holders, which it hears after they have claimed the slots. It returns an error after
// readyTimeout. On a platform it returns nil at once.
func (f *Fleet) WaitSlots() error {
	if f.spec.Adapter != "" {
		// On a platform the daemons use no rate slots.
		return nil
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		held, known := 0, f.spec.RateSlots
		for _, d := range f.Daemons {
			var s struct {
				Held  int `json:"rate_slots_held"`
				Known int `json:"rate_slots_known"`
			}
			_, _ = GetJSON(d.Control, "/v1/status", &s)
			held += s.Held
			known = min(known, s.Known)
		}
		if held >= f.spec.RateSlots && known >= f.spec.RateSlots {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("of %d rate slots, %d are held by a daemon, and one daemon knows the holders of %d", f.spec.RateSlots, held, known)
		}
		time.Sleep(pollInterval)
	}
}

// WaitSick waits until the status of observer shows a target as sick, and returns how
// long that took. It returns an error after readyTimeout.
func (f *Fleet) WaitSick(observer *Process, target ident.Target) (time.Duration, error) {
	startedAt := time.Now()
	for time.Since(startedAt) < readyTimeout {
		var s struct {
			Members []struct {
				Targets []struct {
					Target ident.Target `json:"target"`
					State  string       `json:"state"`
				} `json:"targets"`
			} `json:"members"`
		}
		_, _ = GetJSON(observer.Control, "/v1/status", &s)
		for _, m := range s.Members {
			for _, t := range m.Targets {
				if t.Target == target && t.State == ident.TargetSick.String() {
					return time.Since(startedAt), nil
				}
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.Errorf("the status of %s does not show %s as sick after %s", observer.Name, target, readyTimeout)
}

// httpClient sends requests to operator and control addresses on loopback.
var httpClient = &http.Client{Timeout: 2 * time.Second}

// GetJSON sends a GET request and decodes the JSON response into v. A nil v ignores
// the body. It returns the status, or 0 if there was no response; a status other
// than 200 is an error.
func GetJSON(address, path string, v any) (int, error) {
	resp, err := httpClient.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.Errorf("GET %s%s returned status %d, want 200", address, path, resp.StatusCode)
	}
	if v == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(v)
}

// PutJSON sends v as the JSON body of a PUT request. A status from 300 on is an
// error.
func PutJSON(address, path string, v any) error {
	return sendJSON(http.MethodPut, address, path, v)
}

// DeleteJSON sends v as the JSON body of a DELETE request. A status from 300 on is an
// error.
func DeleteJSON(address, path string, v any) error {
	return sendJSON(http.MethodDelete, address, path, v)
}

func sendJSON(method, address, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s%s returned status %d", method, address, path, resp.StatusCode)
	}
	return nil
}
