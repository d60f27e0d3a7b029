package main

// deployment holds the values of an example configuration that the demo uses.
type deployment struct {
	// name is the name of the example under operator/examples and of the stand-in pool.
	name              string
	zones             []string
	callerToken       string
	operatorToken     string
	repeatableService string
	onceService       string
	jobService        string
	requestBody       string
	onceBody          string
	zoneTakenOut      string
}

func deployments() []deployment {
	return []deployment{
		{
			name:              "chikushi",
			zones:             []string{"fukuoka", "kumamoto", "kagoshima"},
			callerToken:       "chikushi-token",
			operatorToken:     "haruka-token",
			repeatableService: "deposit-ledger",
			onceService:       "payout",
			jobService:        "repricing",
			requestBody:       "12 kegs returned at Hakata",
			onceBody:          "pay 4800 yen to the bar owner",
			zoneTakenOut:      "fukuoka",
		},
		{
			name:              "vesofeny",
			zones:             []string{"kecskemet", "szeged", "debrecen", "szolnok"},
			callerToken:       "vesofeny-token",
			operatorToken:     "dora-token",
			repeatableService: "gravir",
			onceService:       "engrave",
			jobService:        "laser-paths",
			requestBody:       "preview of a logo on a flask",
			onceBody:          "engrave flask 17",
			zoneTakenOut:      "szeged",
		},
	}
}
