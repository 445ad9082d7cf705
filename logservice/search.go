package logservice

import "context"

// FindRecord searches a stream for the record with the given id, from an offset to the
// end of the stream. It returns the record's offset and whether it was found.
func FindRecord(ctx context.Context, log Log, stream, id string, from Offset) (Offset, bool, error) {
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
