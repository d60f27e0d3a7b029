package view

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/model"
	"github.com/chervilrun/chervilrun/internal/rpc"
)

func (m Member) message() *rpc.Member {
	return &rpc.Member{
		Host:             string(m.Host),
		Zone:             string(m.Zone),
		EntryAddress:     m.EntryAddress,
		SchedulerAddress: m.SchedulerAddress,
		AdminAddress:     m.AdminAddress,
		Draining:         m.Draining,
		Incarnation:      m.Incarnation,
	}
}

func memberOf(m *rpc.Member) Member {
	return Member{
		Host:             model.HostID(m.GetHost()),
		Zone:             model.AvailabilityZoneID(m.GetZone()),
		EntryAddress:     m.GetEntryAddress(),
		SchedulerAddress: m.GetSchedulerAddress(),
		AdminAddress:     m.GetAdminAddress(),
		Draining:         m.GetDraining(),
		Incarnation:      m.GetIncarnation(),
	}
}

func memberMessages(members []Member) []*rpc.Member {
	messages := make([]*rpc.Member, len(members))
	for i, member := range members {
		messages[i] = member.message()
	}
	return messages
}

func membersOf(messages []*rpc.Member) []Member {
	members := make([]Member, len(messages))
	for i, message := range messages {
		members[i] = memberOf(message)
	}
	return members
}

func ownerMessages(owners map[model.AvailabilityZoneID]Owner) []*rpc.Owner {
	var messages []*rpc.Owner
	for _, zone := range slices.Sorted(maps.Keys(owners)) {
		owner := owners[zone]
		messages = append(messages, &rpc.Owner{
			Zone:             string(zone),
			Host:             string(owner.Host),
			SchedulerAddress: owner.SchedulerAddress,
			Epoch:            uint64(owner.Epoch),
			Incarnation:      owner.Incarnation,
		})
	}
	return messages
}

func ownersOf(messages []*rpc.Owner) map[model.AvailabilityZoneID]Owner {
	owners := make(map[model.AvailabilityZoneID]Owner, len(messages))
	for _, m := range messages {
		zone := model.AvailabilityZoneID(m.GetZone())
		owners[zone] = Owner{
			Zone:             zone,
			Host:             model.HostID(m.GetHost()),
			SchedulerAddress: m.GetSchedulerAddress(),
			Epoch:            model.Epoch(m.GetEpoch()),
			Incarnation:      m.GetIncarnation(),
		}
	}
	return owners
}

func epochMessages(epochs map[model.AvailabilityZoneID]model.Epoch) map[string]uint64 {
	messages := make(map[string]uint64, len(epochs))
	for zone, epoch := range epochs {
		messages[string(zone)] = uint64(epoch)
	}
	return messages
}

func workerMessages(workers []model.Worker) []*rpc.Worker {
	messages := make([]*rpc.Worker, len(workers))
	for i, w := range workers {
		messages[i] = &rpc.Worker{
			Id:           string(w.ID),
			Zone:         string(w.Zone),
			Rack:         string(w.Rack),
			Accelerators: int32(w.Capacity.Accelerators),
			MilliCpu:     w.Capacity.MilliCPU,
			MemoryMb:     w.Capacity.MemoryMB,
			Endpoint:     w.Endpoint,
			State:        string(w.State),
		}
	}
	return messages
}

func workersOf(messages []*rpc.Worker) []model.Worker {
	workers := make([]model.Worker, len(messages))
	for i, m := range messages {
		workers[i] = model.Worker{
			ID:   model.WorkerID(m.GetId()),
			Zone: model.AvailabilityZoneID(m.GetZone()),
			Rack: model.RackID(m.GetRack()),
			Capacity: model.Resources{
				Accelerators: int(m.GetAccelerators()),
				MilliCPU:     m.GetMilliCpu(),
				MemoryMB:     m.GetMemoryMb(),
			},
			Endpoint: m.GetEndpoint(),
			State:    model.HostState(m.GetState()),
		}
	}
	return workers
}

func executorMessages(executors []model.Executor) []*rpc.Executor {
	messages := make([]*rpc.Executor, len(executors))
	for i, e := range executors {
		messages[i] = &rpc.Executor{
			Id:          string(e.ID),
			Service:     string(e.Service),
			Zone:        string(e.Zone),
			Endpoint:    e.Endpoint,
			State:       string(e.State),
			Slots:       int32(e.Slots),
			Connections: int32(e.Connections),
		}
	}
	return messages
}

func executorsOf(messages []*rpc.Executor) []model.Executor {
	executors := make([]model.Executor, len(messages))
	for i, m := range messages {
		executors[i] = model.Executor{
			ID:          model.ExecutorID(m.GetId()),
			Service:     model.ServiceID(m.GetService()),
			Zone:        model.AvailabilityZoneID(m.GetZone()),
			Endpoint:    m.GetEndpoint(),
			State:       model.HostState(m.GetState()),
			Slots:       int(m.GetSlots()),
			Connections: int(m.GetConnections()),
		}
	}
	return executors
}

// hostsDigest identifies the lists of workers and executors.
func hostsDigest(workers []model.Worker, executors []model.Executor) uint64 {
	return digestOf(workers, executors)
}

// listsDigest identifies the members, owners and epochs of a view.
func listsDigest(v *View) uint64 { return digestOf(v.Members, v.Owners, v.Epochs) }

func digestOf(values ...any) uint64 {
	digest := xxhash.New()
	encoder := json.NewEncoder(digest)
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			panic(errors.Wrap(err, "view: encode lists for the digest"))
		}
	}
	return digest.Sum64()
}
