package operator

import (
	"cmp"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
)

// internal returns the cluster with default values filled in.
func (c Cluster) internal() *config.Cluster {
	return &config.Cluster{
		Zones:         convert(c.Zones, Zone.internal),
		Organisations: convert(c.Organisations, Organisation.internal),
		Services:      convert(c.Services, Service.internal),
		Operators:     convert(c.Operators, Operator.internal),
	}
}

func (z Zone) internal() model.AvailabilityZone {
	return model.AvailabilityZone{
		ID:           model.AvailabilityZoneID(z.ID),
		Region:       model.RegionID(z.Region),
		OutOfService: z.Out,
	}
}

func (o Organisation) internal() model.Organisation {
	return model.Organisation{
		ID:              model.OrganisationID(o.ID),
		Weight:          cmp.Or(o.Weight, config.DefaultWeight),
		Guarantees:      convert(o.Guarantees, Guarantee.internal),
		MaxAccelerators: o.MaxAccelerators,
		TokenSHA256:     convert(o.Tokens, func(t TokenHash) string { return string(t) }),
	}
}

func (g Guarantee) internal() model.Guarantee {
	return model.Guarantee{
		Name:  g.Name,
		Shape: g.Shape.internal(),
		Count: cmp.Or(g.Count, 1),
		Zones: convert(g.Zones, zoneID),
	}
}

func (s Shape) internal() model.Shape {
	return model.Shape{
		Tasks:     s.Tasks,
		Adjacency: model.Adjacency(s.Adjacency),
		PerTask: model.Resources{
			Accelerators: s.Accelerators,
			MilliCPU:     s.MilliCPU,
			MemoryMB:     s.MemoryMB,
		},
	}
}

func (s Service) internal() model.Service {
	return model.Service{
		ID:           model.ServiceID(s.ID),
		Organisation: model.OrganisationID(s.Organisation),
		Repeatable:   s.Repeatable,
		TimeoutMS:    cmp.Or(s.TimeoutMS, config.DefaultTimeoutMS),
		MaxBodyBytes: cmp.Or(s.MaxBodyBytes, config.DefaultServiceBodyBytes),
		Zones:        convert(s.Zones, zoneID),
	}
}

func (o Operator) internal() config.Operator {
	return config.Operator{Name: o.Name, TokenSHA256: string(o.Token)}
}

func zoneID(id string) model.AvailabilityZoneID { return model.AvailabilityZoneID(id) }

func convert[From, To any](items []From, convertItem func(From) To) []To {
	converted := make([]To, len(items))
	for i, item := range items {
		converted[i] = convertItem(item)
	}
	return converted
}
