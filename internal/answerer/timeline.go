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

// GetTimeline returns the newest records that fit the filters, of this
// instance or of all live ones of its failure domain.
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
		others, answer.Missing = a.collect(query)
		records = append(records, others...)
		slices.SortStableFunc(records, compareRecords)
	}
	for _, x := range records {
		answer.Records = append(answer.Records, newRecord(x))
	}
	return answer, nil
}

// collect asks the other instances of the failure domain, all at once; each
// call is bounded in time.
func (a *Answerer) collect(query model.TimelineQuery) (records []model.Record, missing []string) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, x := range a.status().Members {
		if !x.Alive {
			missing = append(missing, x.Name)
			continue
		}
		group.Go(func() {
			found, err := a.Gossiper.Timeline(x.PeerAddress, query)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				missing = append(missing, x.Name)
			}
			records = append(records, found...)
		})
	}
	group.Wait()
	return records, missing
}

func (a *Answerer) selectRecords(query model.TimelineQuery) []model.Record {
	var records []model.Record
	for _, x := range a.Executor.Timeline() {
		if strings.HasPrefix(x.Request, query.Request) && fits(query.Kind, x.Kind) && fits(query.Subject, x.Subject) {
			records = append(records, x)
		}
	}
	if excess := len(records) - query.Limit; excess > 0 {
		records = records[excess:]
	}
	return records
}

func fits(wanted, value string) bool {
	return wanted == "" || wanted == value
}

// compareRecords orders records as hybrid logical clocks do.
func compareRecords(a, b model.Record) int {
	return cmp.Or(
		cmp.Compare(a.WallMS, b.WallMS),
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func newRecord(x model.Record) api.Record {
	return api.Record{
		WallMs:   x.WallMS,
		Logical:  int(x.Logical),
		Instance: x.Instance,
		Kind:     x.Kind,
		Request:  optional(x.Request),
		Subject:  optional(x.Subject),
		Reason:   optional(x.Reason),
		Inputs:   optional(x.Inputs),
	}
}
