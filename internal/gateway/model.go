package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// labelModel is the label set from the model member of the body.
const labelModel = "model"

// serveModel serves a chat or text completion.
func (c *call) serveModel(current Catalog) {
	c.record.kind = "model"
	if c.request.Method != http.MethodPost {
		c.writer.Header().Set("Allow", http.MethodPost)
		c.fail(newRefusal(http.StatusMethodNotAllowed, codeMethod, "only POST is served here"))
		return
	}
	if refused := c.admit(&c.gateway.modelCalls); refused != nil {
		c.fail(*refused)
		return
	}
	run, failure := c.prepareModel(current)
	if failure != nil {
		c.fail(*failure)
		return
	}
	run.serve()
}

// prepareModel does all checks that need no back end.
func (c *call) prepareModel(current Catalog) (*modelRun, *failure) {
	labels, failed := c.labels()
	if failed != nil {
		return nil, failed
	}
	raw, failed := c.readBody()
	if failed != nil {
		return nil, failed
	}
	body, header, failed := parseCompletion(raw)
	if failed != nil {
		return nil, failed
	}
	if header.Model != "" {
		labels[labelModel] = header.Model
	}
	route, found := current.ModelRoute(labels)
	if !found {
		failure := routeNotFound(current, header.Model)
		return nil, &failure
	}
	deadline, failed := c.deadline(route.Deadline, c.gateway.limits.DefaultDeadline)
	if failed != nil {
		return nil, failed
	}
	prompt := backend.PromptText(raw)
	promptTokens := backend.PromptTokens(prompt)
	if failed := checkLength(route, promptTokens, header.MaxTokens); failed != nil {
		return nil, failed
	}
	if failed := c.chargeQuota(promptTokens+max(0, header.MaxTokens), true); failed != nil {
		return nil, failed
	}
	route.Tenant = c.tenantName()
	c.record.route = route.Selector
	run := newModelRun(c, route, body, header, deadline, int64(len(raw)))
	run.prefix = backend.PrefixHashes(prompt)
	run.poisonCheck = c.gateway.newPoisonCheck(poison.Identity{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.URL.RequestURI(),
		Caller: c.tenantName(), Model: string(route.Deployment), Adapter: string(route.Adapter), Body: raw,
	})
	return run, nil
}

func parseCompletion(raw []byte) (backend.Body, backend.CompletionRequest, *failure) {
	var header backend.CompletionRequest
	if err := json.Unmarshal(raw, &header); err != nil {
		failed := newRefusal(http.StatusBadRequest, codeMalformed, "the body is not a completion request: "+err.Error())
		return nil, header, &failed
	}
	body, err := backend.ParseBody(raw)
	if err != nil {
		failed := newRefusal(http.StatusBadRequest, codeMalformed, "the body is not a JSON object: "+err.Error())
		return nil, header, &failed
	}
	return body, header, nil
}

func routeNotFound(current Catalog, model string) failure {
	if model == "" {
		return newRefusal(http.StatusNotFound, codeNoRoute, "no selector matches these labels, and the body names no model")
	}
	if !slices.Contains(current.ModelNames(), model) {
		return newRefusal(http.StatusNotFound, codeUnknownModel, fmt.Sprintf("no model or deployment is named %q", model))
	}
	return newRefusal(http.StatusNotFound, codeNoRoute, fmt.Sprintf("no selector matches these labels and model %q", model))
}

// checkLength refuses requests that do not fit the model's context.
func checkLength(route catalog.ModelRoute, promptTokens, answerTokens int) *failure {
	// Compared by subtraction, since a sum could overflow: a caller may ask for any number of tokens.
	if route.ContextTokens <= 0 || max(0, answerTokens) <= route.ContextTokens-promptTokens {
		return nil
	}
	failed := newRefusal(http.StatusBadRequest, codeTooLong,
		fmt.Sprintf("a prompt of about %d tokens and an answer of %d do not fit; the model has %d",
			promptTokens, max(0, answerTokens), route.ContextTokens))
	return &failed
}

// serveModelList lists the models in the OpenAI format.
func (c *call) serveModelList(current Catalog) {
	c.record.kind = "models"
	if c.request.Method != http.MethodGet && c.request.Method != http.MethodHead {
		c.writer.Header().Set("Allow", "GET, HEAD")
		c.fail(newRefusal(http.StatusMethodNotAllowed, codeMethod, "only GET is served here"))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range current.ModelNames() {
		list.Data = append(list.Data, newModelEntry(name))
	}
	c.writeJSON(list)
}

// serveModelName describes one model.
func (c *call) serveModelName(current Catalog, name string) {
	c.record.kind = "models"
	if !slices.Contains(current.ModelNames(), name) {
		c.fail(routeNotFound(current, name))
		return
	}
	c.writeJSON(newModelEntry(name))
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelEntry(name string) modelEntry {
	return modelEntry{ID: name, Object: "model", OwnedBy: "spanlanding"}
}

func (c *call) writeJSON(value any) {
	c.record.outcome = attempt.OutcomeOK
	c.record.status = http.StatusOK
	body, _ := json.Marshal(value)
	c.writer.Header().Set("Content-Type", "application/json")
	c.writeWhole(http.StatusOK, body)
}
