package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// Route is one route of the operator's configuration. Times are in milliseconds.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeoutMs"`
	TargetMS    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Resumable   bool   `json:"resumable"`
}

// Tenant is a tenant of the operator's configuration.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// Config is a configuration with one service of model servers and one service of
// plain servers.
type Config struct {
	Version int64
	Routes  []Route
	// ModelService is the name of the service of model servers, and Model the name of
	// their base model.
	ModelService string
	Model        string
	// Adapters is the number of adapters of the model.
	Adapters int
	// MaxAdapters is the number of adapters that a model server can hold.
	MaxAdapters int
	// PlainService is the name of the service of plain servers.
	PlainService string
	Tenants      []Tenant
	// MaxBodyBytes is the largest body of a request. Zero means 1 MiB.
	MaxBodyBytes int64
}

// PutConfig stores the operator's configuration.
func (s *Store) PutConfig(c *Config) {
	routes, err := json.Marshal(c.Routes)
	if err != nil {
		panic(err) // marshaling these types cannot fail
	}
	tenants, err := json.Marshal(c.Tenants)
	if err != nil {
		panic(err) // marshaling these types cannot fail
	}
	model := fmt.Sprintf(`{"name":%q,"weightsMb":10.0,"loadTimeS":0.1,"adapters":%d,"adapterSizeMb":1.0}`, c.Model, c.Adapters)
	engine := fmt.Sprintf(`{"slots":8,"kvCacheTokens":100000,"models":[%s],"weightsMb":100.0,"maxAdapters":%d,"loadsPerS":100}`, model, c.MaxAdapters)
	services := fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":100,"engine":%s},{"name":%q,"healthPath":"/health","maxConnections":100}`, c.ModelService, engine, c.PlainService)
	limits := fmt.Sprintf(`{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`, cmp.Or(c.MaxBodyBytes, 1<<20))
	s.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":%s,"services":[%s],"limits":%s,"tenants":%s}`, c.Version, routes, services, limits, tenants))
}

// PutVersion stores the current version of an adapter.
func (s *Store) PutVersion(model, adapter string, version int) {
	s.Put("op/version/"+model+"."+adapter, fmt.Sprintf(`{"model":%q,"adapter":%q,"version":%d}`, model, adapter, version))
}

// PutWeightsVersion stores the current version of the weights of a base model.
func (s *Store) PutWeightsVersion(model string, version int) {
	s.Put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
}
