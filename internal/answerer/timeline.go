package answerer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/model"
)

// GetTimeline returns the newest records that match the filters, from this
// instance or from all live instances of its failure domain.
func (a *Answerer) GetTimeline(_ context.Context, params api.GetTimelineParams) (*api.Timeline, error) {
	query := model.TimelineQuery{
		Request: params.Request.Value,
		Kind:    params.Kind.Value,
		Subject: params.Subject.Value,
		Limit:   params.Limit.Value,
	}
	answer := &api.Timeline{Instance: a.Self.Name}
	records := a.selectRecords(query)
	if params.Scope.Value == api.GetTimelineScopeDomain {
		var others []model.Record
		others, answer.Missing = a.collectFromPeers(query)
		records = append(records, others...)
		slices.SortStableFunc(records, compareRecords)
	}
	for _, record := range records {
		answer.Records = append(answer.Records, newRecord(record))
	}
	return answer, nil
}

// collectFromPeers queries the other instances of the failure domain in
// parallel. Each call has a timeout. It also returns the names of the instances
// that did not answer.
func (a *Answerer) collectFromPeers(query model.TimelineQuery) (records []model.Record, missing []string) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, member := range a.status().Members {
		if !member.Alive {
			missing = append(missing, member.Name)
			continue
		}
		group.Go(func() {
			found, err := a.Gossiper.Timeline(member.PeerAddress, query)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				missing = append(missing, member.Name)
			}
			records = append(records, found...)
		})
	}
	group.Wait()
	return records, missing
}

func (a *Answerer) selectRecords(query model.TimelineQuery) []model.Record {
	var records []model.Record
	for _, record := range a.Executor.Timeline() {
		if strings.HasPrefix(record.Request, query.Request) && matchesFilter(query.Kind, record.Kind) && matchesFilter(query.Subject, record.Subject) {
			records = append(records, record)
		}
	}
	if excess := len(records) - query.Limit; excess > 0 {
		records = records[excess:]
	}
	return records
}

func matchesFilter(wanted, value string) bool {
	return wanted == "" || wanted == value
}

// compareRecords orders records by hybrid logical clock, then by instance.
func compareRecords(a, b model.Record) int {
	return cmp.Or(
		cmp.Compare(a.WallMS, b.WallMS),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func newRecord(record model.Record) api.Record {
	return api.Record{
		WallMs:   record.WallMS,
		Logical:  int(record.Logical),
		Instance: record.Instance,
		Kind:     record.Kind,
		Request:  optionalString(record.Request),
		Subject:  optionalString(record.Subject),
		Reason:   optionalString(record.Reason),
		Inputs:   optionalString(record.Inputs),
	}
}
