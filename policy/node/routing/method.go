package routing

import (
	"slices"
	"strings"

	"github.com/oleanderworks/oleanderworks/model"
)

// Methods that the entry node handles specially.
const (
	methodGet     = "GET"
	methodHead    = "HEAD"
	methodOptions = "OPTIONS"
)

// statusNoContent is the status of answers to OPTIONS, which have no body.
const statusNoContent = 204

// anyMethod lists the methods that the header Allow names for a route without a
// method. Such a route serves all methods.
var anyMethod = []string{methodGet, methodHead, "POST", "PUT", "PATCH", "DELETE"}

// findRoute returns the route for a method and a path. HEAD uses the route of
// GET, unless a route that serves HEAD is at least as specific.
func findRoute(service *model.ServiceConfig, method, path string) *model.Route {
	route := service.MatchRoute(method, path)
	if method != methodHead {
		return route
	}
	get := service.MatchRoute(methodGet, path)
	if route == nil || (get != nil && len(get.Prefix) > len(route.Prefix)) {
		return get
	}
	return route
}

// answerOptions returns the node's own answer to OPTIONS, with the methods of the
// path. It returns nil for other methods, for unknown paths, and when the service
// has a route for OPTIONS.
func answerOptions(req *model.Request, service *model.ServiceConfig, path string) *model.Answer {
	if req.Method != methodOptions {
		return nil
	}
	if route := service.MatchRoute(req.Method, path); route != nil && route.Method == methodOptions {
		return nil
	}
	methods := allowedMethods(service, path)
	if len(methods) == 0 {
		return nil
	}
	header := map[string][]string{"Allow": {strings.Join(methods, ", ")}}
	return &model.Answer{ID: req.ID, Run: model.NotRun, Status: statusNoContent, Header: header}
}

func allowedMethods(service *model.ServiceConfig, path string) []string {
	methods := []string{methodOptions}
	for i := range service.Routes {
		r := &service.Routes[i]
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		switch r.Method {
		case "":
			methods = append(methods, anyMethod...)
		case methodGet:
			methods = append(methods, methodGet, methodHead)
		default:
			methods = append(methods, r.Method)
		}
	}
	if len(methods) == 1 {
		return nil
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}
