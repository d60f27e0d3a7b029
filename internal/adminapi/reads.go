package adminapi

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/event"
	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/outcome"
	"github.com/chervilrun/chervilrun/internal/problem"
	"github.com/chervilrun/chervilrun/internal/view"
)

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request, _ string) {
	current := h.View.Current()
	response := StatusResponse{
		Host:    h.Host,
		Version: h.Version,
		View:    h.viewStatus(current),
		Members: members(current.Members, h.QueryPeers(r.Context(), current.Members)),
		Zones:   zones(current),
		Unmet:   h.unmetOf(current),
	}
	writeJSON(w, http.StatusOK, response)
}

// unmetCache caches the unmet guarantees of one view, since computing them is expensive
// and the status is polled often.
type unmetCache struct {
	mu    sync.Mutex
	view  *view.View
	unmet []UnmetGuarantee
}

func (h *handler) unmetOf(current *view.View) []UnmetGuarantee {
	h.unmet.mu.Lock()
	defer h.unmet.mu.Unlock()
	if h.unmet.view != current {
		h.unmet.view = current
		h.unmet.unmet = unmetGuarantees(h.Acceptor.Unmet(current.Config))
	}
	return h.unmet.unmet
}

func (h *handler) unmetGauge() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervil_guarantee_shapes_unmet",
		Help: "Guaranteed shapes that can't be held with the workers and zones of now.",
	}, func() float64 {
		unmet := 0
		for _, u := range h.unmetOf(h.View.Current()) {
			unmet += u.Missing
		}
		return float64(unmet)
	})
}

func (h *handler) viewStatus(current *view.View) ViewStatus {
	now := h.Clock.Now()
	confirmation := h.View.Confirmation()
	return ViewStatus{
		Serial:          current.Serial,
		ConfigVersion:   current.Config.Version,
		ConfirmedAgeMS:  now.Sub(confirmation.ConfirmedAt).Milliseconds(),
		StoreReachable:  confirmation.StoreReachable,
		OutageConfirmed: confirmation.OutageConfirmed,
		MayStart:        confirmation.MayStart(now),
	}
}

func members(list []view.Member, states []PeerState) []MemberInfo {
	byHost := map[model.HostID]PeerState{}
	for _, state := range states {
		byHost[state.Host] = state
	}
	infos := make([]MemberInfo, len(list))
	for i, member := range list {
		state := byHost[member.Host]
		state.Host = member.Host
		infos[i] = MemberInfo{Member: member, State: state}
	}
	return infos
}

func zones(current *view.View) []ZoneInfo {
	infos := make([]ZoneInfo, len(current.Config.Zones))
	for i, zone := range current.Config.Zones {
		info := ZoneInfo{AvailabilityZone: zone}
		if owner, owned := current.Owners[zone.ID]; owned {
			info.Owner = &owner
		}
		for _, worker := range current.Workers {
			if worker.Zone == zone.ID {
				info.Workers++
				info.Accelerators += worker.Capacity.Accelerators
			}
		}
		for _, executor := range current.Executors {
			if executor.Zone == zone.ID {
				info.Executors++
			}
		}
		infos[i] = info
	}
	return infos
}

func (h *handler) getOrganisations(w http.ResponseWriter, _ *http.Request, _ string) {
	current := h.View.Current()
	c := current.Config
	unmet := h.unmetOf(current)
	infos := make([]OrganisationInfo, len(c.Organisations))
	for i, organisation := range c.Organisations {
		infos[i] = organisationInfo(c, organisation)
		for _, u := range unmet {
			if u.Organisation == organisation.ID {
				infos[i].Unmet = append(infos[i].Unmet, u)
			}
		}
	}
	writeJSON(w, http.StatusOK, OrganisationsResponse{Organisations: infos})
}

func organisationInfo(c *config.Cluster, organisation model.Organisation) OrganisationInfo {
	info := OrganisationInfo{
		ID:              organisation.ID,
		Weight:          organisation.Weight,
		MaxAccelerators: organisation.MaxAccelerators,
		Tokens:          len(organisation.TokenSHA256),
		Guarantees:      append([]model.Guarantee{}, organisation.Guarantees...),
		Services:        []model.ServiceID{},
	}
	for _, service := range c.Services {
		if service.Organisation == organisation.ID {
			info.Services = append(info.Services, service.ID)
		}
	}
	return info
}

func (h *handler) getExecutors(w http.ResponseWriter, r *http.Request, _ string) {
	service := model.ServiceID(r.URL.Query().Get("service"))
	response := ExecutorsResponse{Executors: []model.Executor{}}
	for _, executor := range h.View.Current().Executors {
		if service == "" || executor.Service == service {
			response.Executors = append(response.Executors, executor)
		}
	}
	writeJSON(w, http.StatusOK, response)
}

func (h *handler) getCost(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, h.CollectCost(r.Context()))
}

func (h *handler) getTimeline(w http.ResponseWriter, r *http.Request, _ string) {
	filter, err := timelineFilter(r.URL.Query())
	if err != nil {
		problem.Write(w, outcome.NotRunBecause(outcome.ReasonMalformed, "%v", err))
		return
	}
	writeJSON(w, http.StatusOK, h.CollectTimeline(r.Context(), filter))
}

// DefaultTimelineEvents is the maximum number of events in a timeline if the query does
// not set "limit".
const DefaultTimelineEvents = 1000

const maxTimelineEvents = 100_000

// timelineFilter parses the query of a timeline. "since" and "until" are RFC 3339 times.
func timelineFilter(query url.Values) (event.Filter, error) {
	filter := event.Filter{
		Subject: event.Subject{
			Job:          query.Get("job"),
			Request:      query.Get("request"),
			Worker:       query.Get("worker"),
			Zone:         query.Get("zone"),
			Organisation: query.Get("organisation"),
			Executor:     query.Get("executor"),
			Host:         query.Get("host"),
		},
		Limit: DefaultTimelineEvents,
	}
	var err error
	if filter.SinceWallNS, err = queryTime(query, "since"); err != nil {
		return filter, err
	}
	if filter.UntilWallNS, err = queryTime(query, "until"); err != nil {
		return filter, err
	}
	if text := query.Get("limit"); text != "" {
		filter.Limit, err = strconv.Atoi(text)
		if err != nil || filter.Limit < 1 || filter.Limit > maxTimelineEvents {
			return filter, errors.Errorf("limit is %q, expected 1 to %d", text, maxTimelineEvents)
		}
	}
	return filter, nil
}

func queryTime(query url.Values, key string) (int64, error) {
	text := query.Get(key)
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, errors.Errorf("%s is %q, expected a time such as 2026-03-01T10:02:07Z", key, text)
	}
	return at.UnixNano(), nil
}
