package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestPublicationAfterRestoration guards against a router that keeps an outdated configuration, because it goes on reading at
// the offset that it had reached before the directory was restored from a copy, and the record there is another one now.
func TestPublicationAfterRestoration(t *testing.T) {
	rows := []struct {
		name string
		// lost are the versions that the copy lacks, written those that operators write afterwards, pause apart.
		lost, written []int64
		pause         time.Duration
		// restorations is how often the directory is restored before that.
		restorations int
	}{
		{"the end is the same", []int64{3, 4}, []int64{4, 7}, 0, 1},
		{"the end is the same after a while", []int64{3, 4}, []int64{4, 7}, 250 * time.Millisecond, 1},
		{"the end is further", []int64{3}, []int64{3, 5, 7}, 0, 1},
		{"the end is nearer", []int64{3, 4, 5}, []int64{7}, 0, 1},
		{"nothing lost", nil, []int64{7}, 0, 1},
		{"restored twice", []int64{3, 4}, []int64{4, 7}, 0, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
				directory.put(kernel.TopicPublication, "config", newPublication(1))
				time.Sleep(time.Second)
				copied := directory.copy()
				for _, version := range row.lost {
					directory.put(kernel.TopicPublication, "config", newPublication(version))
				}
				time.Sleep(time.Second)
				for range row.restorations {
					directory.restore(copied)
				}
				for _, version := range row.written {
					directory.put(kernel.TopicPublication, "config", newPublication(version))
					time.Sleep(row.pause)
				}
				time.Sleep(removalBound)
				assert.Equal(t, s.RoutingConfig().Version, int64(7))
			})
		})
	}
}
