package logservice

import "context"

// Search looks for a record by its id, from an offset up to the end of the
// stream. It reports whether the record is there.
func Search(ctx context.Context, log Log, stream, id string, from Offset) (Offset, bool, error) {
	for {
		page, err := log.Read(ctx, stream, from, ReadOptions{})
		if err != nil {
			return 0, false, err
		}
		for _, r := range page.Records {
			if r.ID == id {
				return r.Offset, true, nil
			}
		}
		if len(page.Records) == 0 {
			return 0, false, nil
		}
		from = page.Next
	}
}
