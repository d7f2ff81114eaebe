package model

// Instance identifies an entry instance in the platform's list and in tables.
type Instance struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Incarnation is a random ID that the process generates at each start.
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

// Listing is the platform's list of the instances and servers of one failure
// domain.
type Listing struct {
	Instances []Listed `json:"instances"`
	Servers   []Server `json:"servers"`
}

// Listed is an entry instance in the platform's list.
type Listed struct {
	Instance
	Leaving bool `json:"leaving,omitempty"`
}

// Owner is the incarnation of an instance that owns or owned a server.
type Owner struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Assignment names the owner of a server, the only instance that dispatches to it.
type Assignment struct {
	Server
	Owner string `json:"owner"`
	// OwnerIncarnation distinguishes a restarted owner from its earlier process.
	OwnerIncarnation string `json:"owner_incarnation"`
	// Revision is the table revision in which the owner last changed.
	Revision int64 `json:"revision"`
	// Previous lists earlier owners that may not know yet that they lost the
	// server, or may still have requests in flight on it.
	Previous []Owner `json:"previous,omitempty"`
	// ChangedMS is the wall time in Unix milliseconds at which the owner changed.
	ChangedMS int64 `json:"changed_ms"`
	// SinceMS is the wall time in Unix milliseconds at which the server joined.
	SinceMS int64 `json:"since_ms"`
}

// Table assigns the servers of a failure domain to its instances. It is kept in
// the store under the domain's name.
type Table struct {
	Revision    int64        `json:"revision"`
	Domain      string       `json:"domain"`
	Members     []Instance   `json:"members"`
	Assignments []Assignment `json:"assignments"`
}
