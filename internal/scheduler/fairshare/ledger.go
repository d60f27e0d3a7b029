// Package fairshare keeps what each organisation uses and orders organisations by
// the weighted share of what they borrow beyond their guarantees.
package fairshare

import "github.com/chervilrun/chervilrun/internal/model"

// Account is what one organisation uses.
type Account struct {
	// Accelerators counts all accelerators placed or claimed, for the quota.
	Accelerators int
	// Borrowed is what gangs use that no guarantee covers.
	Borrowed model.Resources
	// Weight is the organisation's part of what lies beyond guarantees.
	Weight int
	// Quota is the most accelerators the organisation may use; 0 means no limit.
	Quota int
}

// Ledger holds the accounts of all organisations.
type Ledger struct {
	accounts map[model.OrganisationID]*Account
	total    model.Resources
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{accounts: make(map[model.OrganisationID]*Account)} }

// SetTotal sets the resources of the whole zone, against which shares are counted.
func (l *Ledger) SetTotal(total model.Resources) { l.total = total }

// AccountOf returns the account of an organisation, which may be unknown to the
// configuration.
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

// Allows reports whether the organisation may use so many more accelerators.
func (l *Ledger) Allows(organisation model.OrganisationID, accelerators int) bool {
	a := l.AccountOf(organisation)
	return a.Quota == 0 || accelerators == 0 || a.Accelerators+accelerators <= a.Quota
}

// Share is the largest part of any one resource of the zone that the organisation
// borrows, divided by its weight (dominant resource fairness).
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
