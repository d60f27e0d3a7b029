// Package fairshare accounts for what each organisation uses and computes its weighted
// share of the resources borrowed outside guarantees.
package fairshare

import "github.com/chervilrun/chervilrun/internal/model"

// Account is what one organisation uses.
type Account struct {
	// Accelerators counts all accelerators placed or claimed, for the quota.
	Accelerators int
	// Borrowed is what gangs outside guarantees use.
	Borrowed model.Resources
	// Weight is the organisation's fair-share weight.
	Weight int
	// Quota is the maximum number of accelerators in use at once; 0 means no limit.
	Quota int
}

// Ledger holds the accounts of all organisations.
type Ledger struct {
	accounts map[model.OrganisationID]*Account
	total    model.Resources
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{accounts: make(map[model.OrganisationID]*Account)} }

// SetTotal sets the resources of the whole zone, on which shares are based.
func (l *Ledger) SetTotal(total model.Resources) { l.total = total }

// AccountOf returns the account of an organisation. One that the configuration doesn't
// have gets an account with weight 1 and no quota.
func (l *Ledger) AccountOf(organisation model.OrganisationID) *Account {
	a, ok := l.accounts[organisation]
	if !ok {
		a = &Account{Weight: 1}
		l.accounts[organisation] = a
	}
	return a
}

// SetOrganisations sets weights and quotas.
func (l *Ledger) SetOrganisations(organisations []model.Organisation) {
	for _, a := range l.accounts {
		a.Weight, a.Quota = 1, 0
	}
	for _, organisation := range organisations {
		a := l.AccountOf(organisation.ID)
		a.Weight = max(organisation.Weight, 1)
		a.Quota = organisation.MaxAccelerators
	}
}

// Allows reports whether the quota allows the organisation this many more accelerators.
func (l *Ledger) Allows(organisation model.OrganisationID, accelerators int) bool {
	a := l.AccountOf(organisation)
	return a.Quota == 0 || accelerators == 0 || a.Accelerators+accelerators <= a.Quota
}

// Share is the organisation's weighted dominant share (dominant resource fairness): the
// largest fraction of any one of the zone's resources that it borrows, divided by its
// weight.
func (l *Ledger) Share(organisation model.OrganisationID) float64 {
	return l.ShareWith(organisation, model.Resources{})
}

// ShareWith is the share that the organisation would have with more borrowed.
func (l *Ledger) ShareWith(organisation model.OrganisationID, more model.Resources) float64 {
	a := l.AccountOf(organisation)
	borrowed := a.Borrowed.Add(more)
	dominant := max(
		fraction(float64(borrowed.Accelerators), float64(l.total.Accelerators)),
		fraction(float64(borrowed.MilliCPU), float64(l.total.MilliCPU)),
		fraction(float64(borrowed.MemoryMB), float64(l.total.MemoryMB)))
	return dominant / float64(a.Weight)
}

func fraction(amount, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return amount / total
}
