package model

// Instance is an entry instance as the platform's list and the tables name it.
type Instance struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Incarnation is drawn anew at each start of the process.
	Incarnation string `json:"incarnation"`
	// Address serves callers and operators, as host:port.
	Address string `json:"address"`
	// PeerAddress serves other instances, as host:port.
	PeerAddress string `json:"peer_address"`
}

// Server is an upstream server.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Listing is the platform's instance list for one failure domain.
type Listing struct {
	Instances []Listed `json:"instances"`
	Servers   []Server `json:"servers"`
}

// Listed is an entry instance in the platform's list.
type Listed struct {
	Instance
	Leaving bool `json:"leaving,omitempty"`
}

// Owner is one incarnation of an instance as the owner of a server.
type Owner struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Assignment says which instance alone dispatches to a server.
type Assignment struct {
	Server
	Owner string `json:"owner"`
	// OwnerIncarnation tells a restarted owner from its predecessor.
	OwnerIncarnation string `json:"owner_incarnation"`
	// Revision of the table in which the owner last changed.
	Revision int64 `json:"revision"`
	// Previous holds owners that may not know yet that they lost the server,
	// or may have left work there.
	Previous []Owner `json:"previous,omitempty"`
	// ChangedMS is the wall time in Unix milliseconds at which the owner changed.
	ChangedMS int64 `json:"changed_ms"`
	// SinceMS is the wall time in Unix milliseconds at which the server joined.
	SinceMS int64 `json:"since_ms"`
}

// Table is the agreed division of a failure domain's servers among its
// instances. It lies in the store under the domain's name.
type Table struct {
	Revision    int64        `json:"revision"`
	Domain      string       `json:"domain"`
	Members     []Instance   `json:"members"`
	Assignments []Assignment `json:"assignments"`
}
