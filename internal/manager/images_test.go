package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Checks which images the cache keeps: the most recently used ones that fit on the disk.
func TestImageCacheKeepsRecentlyUsedImages(t *testing.T) {
	type use struct {
		at    micros.Timestamp
		image string
		ready bool
	}
	for _, c := range []struct {
		name       string
		capacityGB float64
		uses       []use
		want       string // ready images, then images being fetched
	}{
		{"all fit", 10, []use{{1, "a", true}, {2, "b", true}}, "[a b] []"},
		{"least recently used is evicted", 10, []use{{1, "a", true}, {2, "b", true}, {3, "c", true}}, "[b c] []"},
		{"repeated use keeps an image", 10,
			[]use{{1, "a", true}, {2, "b", true}, {3, "a", true}, {4, "c", true}}, "[a c] []"},
		{"equally old: first by name is evicted", 10, []use{{1, "b", true}, {1, "a", true}, {2, "c", true}}, "[b c] []"},
		{"image being fetched is not evicted", 10, []use{{1, "a", false}, {2, "b", true}, {3, "c", true}}, "[c] [a]"},
		{"image in use is not evicted", 10, []use{{1, "a", true}, {1, "b", true}, {1, "c", true}}, "[a b c] []"},
		{"capacity is unknown", 0, []use{{1, "a", true}, {2, "b", true}, {3, "c", true}}, "[a b c] []"},
		{"fetched image stays ready", 10, []use{{1, "a", true}, {2, "a", false}}, "[a] []"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := imageCache{}
			for _, u := range c.uses {
				cache.use(u.at, &wire.Job{Image: u.image, ImageGB: 5}, u.ready, c.capacityGB)
			}
			ready, fetching := cache.names()
			if got := fmt.Sprint(ready, fetching); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// A fetch is abandoned when no task waits for the image any longer.
func TestAbandonedFetchesAreDropped(t *testing.T) {
	cache := imageCache{}
	cache.use(1, &wire.Job{Image: "a"}, true, 0)
	cache.use(1, &wire.Job{Image: "b"}, false, 0)
	cache.use(2, &wire.Job{Image: "c"}, false, 0)
	cache.dropAbandonedFetches(2)
	ready, fetching := cache.names()
	if got := fmt.Sprint(ready, fetching); got != "[a] [c]" {
		t.Errorf("got %s, want [a] [c]", got)
	}
}
