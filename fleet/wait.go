package fleet

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/ident"
)

// WaitReady waits until every daemon is ready and knows every member.
func (f *Fleet) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range f.Daemons {
		for !f.isReady(d) {
			if time.Now().After(deadline) || d.hasEnded() {
				return errors.Errorf("%s is not ready; its log ends with:\n%s", d.Name, f.logEnd(d))
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// logEndBytes is how much of a log is shown.
const logEndBytes = 2000

func (f *Fleet) logEnd(p *Process) string {
	b, err := os.ReadFile(filepath.Join(f.spec.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logEndBytes):])
}

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

// WaitSlots waits until all rate slots have a holder.
func (f *Fleet) WaitSlots() error {
	if f.spec.Adapter != "" {
		// Platforms have no slots.
		return nil
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		held := 0
		for _, d := range f.Daemons {
			var s struct {
				Held int `json:"rate_slots_held"`
			}
			_, _ = GetJSON(d.Control, "/v1/status", &s)
			held += s.Held
		}
		if held >= f.spec.RateSlots {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("only %d of %d rate slots are held", held, f.spec.RateSlots)
		}
		time.Sleep(pollEvery)
	}
}

// WaitSick waits until a daemon sees a target as sick, and returns how long it
// took.
func (f *Fleet) WaitSick(observer *Process, target ident.Target) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < readyTimeout {
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
					return time.Since(began), nil
				}
			}
		}
		time.Sleep(pollEvery)
	}
	return 0, errors.Errorf("%s does not see %s as sick after %s", observer.Name, target, readyTimeout)
}

// httpClient is for control calls on loopback.
var httpClient = &http.Client{Timeout: 2 * time.Second}

// GetJSON reads a JSON answer into v, unless v is nil.
func GetJSON(address, path string, v any) (int, error) {
	resp, err := httpClient.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.Errorf("%s%s answered %d", address, path, resp.StatusCode)
	}
	if v == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(v)
}

// PutJSON sends v as JSON.
func PutJSON(address, path string, v any) error {
	return sendJSON(http.MethodPut, address, path, v)
}

// DeleteJSON sends v as the body of a DELETE.
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
	return resp.Body.Close()
}
