package launcher

import (
	"net/http"

	"github.com/yuccathread/yuccathread/internal/carrier"
	"github.com/yuccathread/yuccathread/internal/gossiper"
	"github.com/yuccathread/yuccathread/internal/relayer"
	"github.com/yuccathread/yuccathread/internal/traffic"
)

// peer serves the calls of other instances: those for changes of the store and those for
// tokens of quotas.
type peer struct {
	*relayer.Relayer
	carrier *carrier.Carrier
}

// Lend lends tokens of quotas.
func (p *peer) Lend(query traffic.QuotaQuery, reply *traffic.QuotaReply) error {
	*reply = p.carrier.LendQuota(query)
	return nil
}

func (l *Launcher) servePeers(mux *http.ServeMux) error {
	l.relayer.RegisterEvents()
	return gossiper.ServeBounded(mux, &peer{Relayer: l.relayer, carrier: l.carrier})
}
